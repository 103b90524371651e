import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import { moneyCounts } from '../settings/money.js';
import type { World } from '../runtime.js';
import type { Job, JobBook } from '../jobs/book.js';
import type { Entry, Machine, MachineTable } from '../workers/table.js';
import { Candidates, type ChoiceContext, allowedOn, closedZones, openZones } from './choose.js';
import {
  type FinishGoals,
  type Urgency,
  finishGoals,
  servingOrder,
  urgency,
  withinGuarantee,
} from './order.js';
import { gangAttempt, gangState, keptFor, missing, slots, zonesInTurn } from './gangs.js';
import { QuotaBook } from './quota.js';
import { RunTimes } from './run-times.js';
import { Timings, selectMove, slowMachines, trimTimings } from './stragglers.js';

export interface PlacementDeps {
  world: World;
  settings: PlatformSettings;
  operator: OperatorSettings;
  book: JobBook;
  table: MachineTable;
  attemptBase: number;
  /** May jobs of former leaders be acted on yet? */
  oldJobsOpen(): boolean;
  isSilent(m: Machine): boolean;
  /** Time of day: what users' due times are measured in. */
  wallMs(): number;
}

/** A pass is bounded, so that renewals, health checks and answers never wait long behind it. */
const STARTS_PER_PASS = 400;
const LOOKS_PER_PASS = 30_000;
/** How fast arrivals of services fade. */
const ARRIVALS_S = 40;
/** Who is within a guarantee changes slowly. */
const GUARANTEE_MS = 300;
/** A job of which nothing has begun after so long gets a first share of its tasks before all others. */
const STARVED_MS = 60_000;
/** An array of which nothing starts for so long takes the room that its team keeps for services. */
const PATIENT_MS = 30_000;
/** A gang that finds no room for so long. */
const GANG_PATIENT_MS = 10_000;
/** What is kept for it is kept for so long, and then anew while it waits. */
const KEPT_MS = 1500;
/** Whatever waits for longer takes what is kept for a gang: nobody may wait for ever beside room. */
const YIELDS_MS = 60_000;
const FOOT_IN_THE_DOOR = 0.25;

/** Which task goes where, when, and instead of what. Sends nothing: it holds and stops entries in the table. */
export class Placement {
  private readonly quota: QuotaBook;
  private readonly runTimes = new RunTimes();
  private readonly timings = new Timings();
  private readonly endedJobs: number[] = [];
  private attempts = 0;
  private lastRound: number;
  private drainNext = 0;
  private guaranteed = new Set<Job>();
  private guaranteedAt = -Infinity;
  /** CPUs of services that came, the older ones fading. */
  private arrivals = { cpus: 0, at: 0 };
  /** The largest gang of late, in CPUs, fading. */
  private gangs = { cpus: 0, at: 0 };
  /** What placing cost since the last round, for the log. */
  private work = { passes: 0, looks: 0, starts: 0 };
  /** Machines kept for a gang that waits. */
  private kept: { job: Job; machines: Set<Machine>; until: number } | null = null;
  /** A gang for which its team's arrays leave room under the limit. */
  private limitKept: { job: Job; until: number } | null = null;
  private readonly saveMoney: boolean;
  private readonly goals: FinishGoals;
  /** The most CPUs that one service asked of its team: arrays leave that much under the team's limit. */
  private readonly serviceCpus = new Map<string, number>();

  constructor(private readonly deps: PlacementDeps) {
    this.quota = new QuotaBook(deps.settings.teams);
    this.saveMoney = moneyCounts(deps.settings, deps.operator);
    this.goals = finishGoals(deps.settings.objectives);
    this.lastRound = deps.world.clock.now();
  }

  // What the machine table tells.

  held(e: Entry): void {
    if (!e.job) return;
    e.job.hold(e);
    this.quota.hold(e.job.spec);
  }

  left(e: Entry): void {
    const { job, machine } = e;
    if (!job) return;
    const now = this.deps.world.clock.now();
    if (e.cause === 'done') {
      if (e.runningSince > 0 && job.spec.kind !== 'service') {
        const ms = now - e.runningSince;
        this.runTimes.record(job.spec.cls, ms, job.spec.estimateS * 1000);
        // A gang runs at the speed of its slowest machine, which tells nothing of the others.
        if (job.spec.kind === 'array') this.timings.record(job.idx, machine.idx, ms);
      }
      machine.failedJobs.delete(job.idx);
      job.failedOn.clear();
      job.failures = 0;
      if (!job.cancelled && job.spec.kind === 'gang') job.finishAll(now);
      else if (!job.cancelled) job.finish(e.num, now);
    }
    job.release(e);
    this.quota.release(job.spec);
    if (job.spec.kind === 'gang' && e.sent && !job.complete()) this.gangLost(job, e);
    if (e.cause === 'error' || e.cause === 'unknown') this.noteFailure(job, machine, now);
    if (e.cause === 'no_room' || e.cause === 'busy') job.notBefore = Math.max(job.notBefore, now + 300);
  }

  /**
   * While the gang gathers, one that vanished or found no room is replaced under the same attempt, and the others go on
   * waiting. Otherwise the gang leaves whole, and starts again whole once nothing of it is left.
   */
  private gangLost(job: Job, e: Entry): void {
    const replaceable = e.cause === null || e.cause === 'no_room' || e.cause === 'busy';
    if (!replaceable || gangState(job) !== 'gathering') this.stopAll(job, 'a task of the gang is gone');
  }

  /** Told all at once, and with the time to save: then the next start goes on from there. */
  private stopGang(job: Job, why: string, leftS = Infinity): void {
    const { saveS, checkpointS } = job.spec;
    const saves = gangState(job) === 'running' && checkpointS > 0 && saveS <= leftS;
    this.stopAll(job, why, saves ? saveS : 0);
  }

  /** A job that fails on several machines is itself at fault: it waits longer each time, and condemns none. */
  private noteFailure(job: Job, machine: Machine, now: number): void {
    job.failures++;
    job.failedOn.add(machine.idx);
    machine.failedJobs.add(job.idx);
    if (job.failedOn.size >= 3) {
      for (const m of this.deps.table.all()) m.failedJobs.delete(job.idx);
      job.failedOn.clear();
    }
    job.notBefore = now + Math.min(20_000, 200 * 2 ** Math.min(job.failures, 8));
    if (machine.failedJobs.size >= 2 && !machine.draining) {
      this.deps.world.log.info({ id: machine.id }, 'machine fails tasks of several jobs');
      machine.draining = 'faulty';
    }
  }

  reported(m: Machine): void {
    if (m.noticeUntil !== null && !m.draining) m.draining = 'notice';
    const now = this.deps.world.clock.now();
    for (const e of [...m.entries.values()]) {
      if (!e.onMachine() || e.stop) continue;
      if (!e.job) this.stop(e, 0, 'no such job');
      else if (e.job.cancelled) this.stop(e, 0, 'cancelled');
      else if (e.job.isFinished(e.num) && e.job.spec.kind !== 'gang') this.stop(e, 0, 'finished elsewhere');
      else {
        // A late report of a machine that is gone shows a copy, too: only one that obeys us proves anything.
        const copies = e.job.held.get(e.num);
        const first = copies && copies.length > 1 ? copies[0]! : e;
        if (first !== e && first.machine.certain() && m.certain()) this.stop(e, 0, 'second copy');
      }
    }
    if (m.draining === 'notice') this.drain(m, now);
  }

  cancelled(job: Job): void {
    this.stopAll(job, 'cancelled');
  }

  private stopAll(job: Job, why: string, graceS = 0): void {
    for (const list of [...job.held.values()]) for (const e of [...list]) this.stop(e, graceS, why);
  }

  ended(job: Job): void {
    this.endedJobs.push(job.idx);
    trimTimings(this.timings, (idx) => [...this.deps.book.all()].some((j) => j.idx === idx), this.endedJobs);
  }

  private stop(e: Entry, graceS: number, why: string): void {
    if (!e.sent) {
      // Never sent, so it can't be anywhere.
      this.deps.table.drop(e, this.deps.world.clock.now());
      return;
    }
    this.deps.table.stop(e, graceS, why);
  }

  // Starts.

  private usable(m: Machine): boolean {
    return (
      m.stored &&
      m.certain() &&
      !m.draining &&
      !m.deleting &&
      m.commandFailures === 0 &&
      !this.deps.isSilent(m)
    );
  }

  /** How many machines may not be given work, and why: for the log. */
  private unusable(): Record<string, number> {
    const out: Record<string, number> = {};
    for (const m of this.deps.table.all()) {
      if (this.usable(m)) continue;
      const why = !m.stored
        ? 'not stored'
        : !m.certain()
          ? 'not certain'
          : m.draining
            ? m.draining
            : m.commandFailures > 0
              ? 'unanswered'
              : 'silent';
      out[why] = (out[why] ?? 0) + 1;
    }
    return out;
  }

  private mayPreempt(victim: Entry, job: Job): boolean {
    const v = victim.job!;
    // The end of one task would end them all.
    if (v.spec.kind === 'gang') return false;
    if (v.spec.priority > job.spec.priority) return true;
    return (
      this.guaranteed.has(job) &&
      !this.guaranteed.has(v) &&
      v.spec.priority > 0 &&
      v.spec.team !== job.spec.team &&
      this.quota.borrows(v.spec.team)
    );
  }

  private context(): ChoiceContext {
    return {
      saveMoney: this.saveMoney,
      mayPreempt: (v, j) => this.mayPreempt(v, j),
    };
  }

  /** CPUs the job would use if there were room: its team's limit taken into account. */
  wantedCpus(job: Job): number {
    const s = job.spec;
    const team = this.quota.team(s.team);
    const open = (job.held.size + job.pending()) * s.cpus;
    return Math.min(open, team?.cpusMax ?? 0);
  }

  private nextAttempt(): number {
    return this.deps.attemptBase + this.attempts++;
  }

  private begin(
    job: Job,
    num: number,
    m: Machine,
    victims: Entry[],
    now: number,
    attempt = this.nextAttempt(),
  ): Entry {
    for (const v of victims) this.stop(v, 0, 'preempted');
    this.work.starts++;
    job.startedAt = now;
    return this.deps.table.hold(m, job.spec.id, job, num, attempt, now);
  }

  /** Arrays leave room under their team's limit for its services. */
  private noteService(job: Job): void {
    const { kind, team, cpus, tasks } = job.spec;
    if (kind !== 'service') return;
    this.serviceCpus.set(team, Math.max(this.serviceCpus.get(team) ?? 0, cpus * Math.min(4, tasks)));
  }

  /** CPUs a second that services asked for, of late. */
  arriving(): number {
    const quietS = (this.deps.world.clock.now() - this.arrivals.at) / 1000;
    return (this.arrivals.cpus * Math.exp(-quietS / ARRIVALS_S)) / ARRIVALS_S;
  }

  private noteArrival(job: Job): void {
    const cpus = this.arriving() * ARRIVALS_S + job.spec.cpus * job.spec.tasks;
    this.arrivals = { cpus, at: this.deps.world.clock.now() };
  }

  private noteGang(job: Job): void {
    const now = this.deps.world.clock.now();
    const cpus = job.spec.cpus * job.spec.tasks;
    this.gangs = { cpus: Math.max(cpus, this.gangRoom(now)), at: now };
  }

  /** Ordinary room that arrays leave to the next gang, where they may use spot machines: that of the largest of late. */
  private gangRoom(now: number): number {
    return this.gangs.cpus * Math.exp(-(now - this.gangs.at) / (ARRIVALS_S * 1000));
  }

  /** A job is known now, or has come back from a former leader. */
  accepted(job: Job): void {
    this.noteService(job);
    if (job.fresh && job.spec.kind === 'service') this.noteArrival(job);
    if (job.spec.kind === 'gang') this.noteGang(job);
    this.guaranteedAt = -Infinity;
  }

  /**
   * Starts whatever can start, and tells whether it stopped early. Like jobs are decided as a class: where one
   * finds no room, its likes don't look. Machines are scored once a job, not once a task.
   */
  pass(): boolean {
    const { book, world } = this.deps;
    const now = world.clock.now();
    const open = this.deps.oldJobsOpen();
    const waiting: Job[] = [];
    let leastUrgent = 0;
    for (const job of book.all()) {
      if (job.held.size > 0) leastUrgent = Math.max(leastUrgent, job.spec.priority);
      if (job.pending() > 0 && job.notBefore <= now && (job.fresh || open)) waiting.push(job);
    }
    if (waiting.length === 0) return false;
    this.work.passes++;
    if (now - this.guaranteedAt >= GUARANTEE_MS) {
      this.guaranteedAt = now;
      this.guaranteed = withinGuarantee(book.all(), this.quota);
    }
    const unseen = this.unseen();
    const ctx = this.context();
    const { roomy, full } = this.usableMachines(waiting);
    const zones = new Set([...roomy, ...full].map((m) => m.zone));
    /** Free on ordinary machines beyond what arrays leave to gangs. */
    const forGangs = 2 * this.gangRoom(now);
    let spare =
      forGangs < 1 ? Infinity : roomy.reduce((n, m) => n + (m.spot ? 0 : m.freeCpus()), 0) - forGangs;
    const noRoom = new Set<string>();
    /** Teams whose own work was asked to leave room in this pass: one job a team, since it looks at all tasks. */
    const asked = new Set<string>();
    let starts = STARTS_PER_PASS;
    let looks = LOOKS_PER_PASS;
    const wall = this.deps.wallMs();
    const expected = (j: Job): number =>
      this.timings.usual(j.idx) ?? this.runTimes.expected(j.spec.cls, j.spec.estimateS * 1000);
    const order = (j: Job): Urgency =>
      urgency(j, this.goals, expected(j), wall, this.starved(j, wall) || this.isPatient(j, now));
    for (const job of servingOrder(waiting, this.guaranteed, order)) {
      if (starts <= 0 || looks <= 0) return true;
      const guaranteed = this.guaranteed.has(job);
      const choosy =
        job.spec.kind === 'array' && job.spec.spot && !guaranteed && now - job.startedAt <= PATIENT_MS;
      const mine = (list: Machine[]): Machine[] => {
        const left = this.withoutKept(job, list, now);
        return choosy && spare <= 0 ? left.filter((m) => m.spot) : left;
      };
      if (job.spec.kind === 'gang') {
        const mayStop = job.spec.priority < leastUrgent || guaranteed;
        const machines = mine([...roomy, ...full]);
        looks -= machines.length;
        this.work.looks += machines.length;
        const placed = this.startGang(job, ctx, machines, unseen.get(job.spec.team), mayStop, now);
        starts -= placed ? job.spec.tasks : 0;
        if (placed === false && this.isPatient(job, now)) this.keepFor(job, machines, now);
        continue;
      }
      // Replicas whose zones are closed must not cost all others their looks, pass after pass: see incident fleet-loss.
      const shape = `${job.key}|${closedZones(job, zones)}`;
      const likes = `${shape}|${guaranteed ? job.spec.team : ''}|${choosy}`;
      if (noRoom.has(likes) || this.yieldsLimit(job, now)) continue;
      const keep = this.keptForServices(job, now);
      const elsewhere = unseen.get(job.spec.team);
      let most = this.starved(job, wall) ? Math.ceil(job.spec.tasks * FOOT_IN_THE_DOOR) : Infinity;
      let candidates: Candidates | null = null;
      while (starts > 0 && most-- > 0 && job.pending() > 0) {
        if (!this.quota.allows(job.spec, keep + (elsewhere?.cpus ?? 0), elsewhere?.gpus)) {
          if (job.spec.priority === 0 && open && !asked.has(job.spec.team)) this.makeQuota(job);
          asked.add(job.spec.team);
          break;
        }
        if (!candidates) {
          const mayStop = job.spec.priority < leastUrgent || guaranteed;
          candidates = new Candidates(job, mine(mayStop ? [...roomy, ...full] : roomy), ctx);
          looks -= candidates.looked;
          this.work.looks += candidates.looked;
          if (!candidates.any() && job.failedOn.size === 0) noRoom.add(likes);
        }
        const num = job.next();
        const choice = num < 0 ? null : candidates.best();
        if (!choice) break;
        this.begin(job, num, choice.machine, choice.victims, now);
        candidates.placed(choice.machine);
        if (!choice.machine.spot) {
          spare -= job.spec.cpus;
          if (choosy && spare <= 0) candidates = null;
        }
        starts--;
      }
    }
    return starts <= 0;
  }

  /** An array leaves its team's next service room under the limit, but not for ever: nobody may come. */
  private keptForServices(job: Job, now: number): number {
    if (job.spec.kind !== 'array' || now - job.startedAt > PATIENT_MS) return 0;
    return this.serviceCpus.get(job.spec.team) ?? 0;
  }

  /** Nothing of it has begun for long: streams of smaller jobs must not keep a large one out for ever. */
  private starved(j: Job, wallMs: number): boolean {
    return (
      j.spec.kind === 'array' && j.held.size === 0 && j.finishedCount === 0 && wallMs - j.at > STARVED_MS
    );
  }

  /** Machines that may be given work: those with room for some waiting task, and those without. */
  private usableMachines(waiting: Job[]): { roomy: Machine[]; full: Machine[] } {
    const least = waiting.reduce((n, j) => Math.min(n, j.spec.cpus), Infinity) - 1e-6;
    const roomy: Machine[] = [];
    const full: Machine[] = [];
    for (const m of this.deps.table.all()) if (this.usable(m)) (m.freeCpus() >= least ? roomy : full).push(m);
    return { roomy, full };
  }

  private heldByArrays(team: string): { cpus: number; gpus: number } {
    const out = { cpus: 0, gpus: 0 };
    for (const { spec, held } of this.deps.book.all()) {
      if (spec.kind !== 'array' || spec.team !== team) continue;
      out.cpus += held.size * spec.cpus;
      out.gpus += held.size * spec.gpus;
    }
    return out;
  }

  /** A gang of the same team waits for room under the team's limit, and the job is not more urgent. */
  private yieldsLimit(job: Job, now: number): boolean {
    const k = this.limitKept;
    if (!k || now >= k.until || k.job.held.size > 0 || k.job.cancelled || job.spec.kind !== 'array')
      return false;
    if (now - job.startedAt > YIELDS_MS) return false;
    return job.spec.team === k.job.spec.team && job.spec.priority >= k.job.spec.priority;
  }

  /** Of several gangs one at a time: two that keep half of what each needs would block one another. */
  private keepFor(job: Job, machines: Machine[], now: number): void {
    const k = this.kept;
    if (k && k.job !== job && this.isPatient(k.job, now) && now < k.until) return;
    const allowed = machines.filter((m) => allowedOn(job.spec, m) && !job.failedOn.has(m.idx));
    this.kept = { job, machines: keptFor(job, allowed), until: now + KEPT_MS };
  }

  /** What a waiting gang keeps is for it alone, and for what is more urgent. */
  private withoutKept(job: Job, list: Machine[], now: number): Machine[] {
    const k = this.kept;
    if (!k || k.job === job || now >= k.until || job.spec.priority < k.job.spec.priority) return list;
    if (now - job.startedAt > YIELDS_MS) return list;
    return k.job.held.size === 0 && !k.job.cancelled ? list.filter((m) => !k.machines.has(m)) : list;
  }

  /** A gang that has waited for so long goes first among its likes, and keeps room from others. */
  private isPatient(job: Job, now: number): boolean {
    return job.spec.kind === 'gang' && job.held.size === 0 && now - job.startedAt > GANG_PATIENT_MS;
  }

  /**
   * All tasks of a gang or none; or what is missing of one that gathers. Room for all is found before anything is
   * started or stopped. False: there was none; null: it is not to be placed now.
   */
  private startGang(
    job: Job,
    ctx: ChoiceContext,
    machines: Machine[],
    elsewhere: { cpus: number; gpus: number } | undefined,
    mayStop: boolean,
    now: number,
  ): boolean | null {
    const state = gangState(job);
    if (state === 'leaving') return null;
    if (state === 'running') {
      this.stopAll(job, 'a task of the gang is gone');
      return null;
    }
    const nums = missing(job);
    const others = nums.length - 1;
    const { cpus, gpus } = job.spec;
    const [keepCpus, keepGpus] = [
      others * cpus + (elsewhere?.cpus ?? 0),
      others * gpus + (elsewhere?.gpus ?? 0),
    ];
    job.notBefore = now + 500;
    if (!this.quota.allows(job.spec, keepCpus, keepGpus)) {
      const arrays = this.heldByArrays(job.spec.team);
      // Once the arrays' tasks have ended it fits: until then no more of them begin.
      if (
        this.isPatient(job, now) &&
        this.quota.allows(job.spec, keepCpus - arrays.cpus, keepGpus - arrays.gpus)
      )
        this.limitKept = { job, until: now + KEPT_MS };
      return null;
    }
    const attempt = gangAttempt(job) ?? this.nextAttempt();
    const allowed = machines.filter((m) => allowedOn(job.spec, m) && !job.failedOn.has(m.idx));
    for (const group of job.spec.oneZone ? zonesInTurn(job, allowed) : [allowed]) {
      const room = mayStop ? Infinity : group.reduce((n, m) => n + slots(job, m), 0);
      if (room < nums.length) continue;
      const victims = this.holdGang(job, nums, group, ctx, attempt, now);
      if (!victims) continue;
      for (const v of victims) this.stop(v, 0, 'preempted');
      this.work.starts += nums.length;
      job.startedAt = now;
      return true;
    }
    return false;
  }

  /** Holds the tasks on machines of the group, and tells what must be stopped for them; null if not all find room. */
  private holdGang(
    job: Job,
    nums: number[],
    group: Machine[],
    ctx: ChoiceContext,
    attempt: number,
    now: number,
  ): Entry[] | null {
    const { table } = this.deps;
    const candidates = new Candidates(job, group, ctx);
    const chosen: Entry[] = [];
    const victims: Entry[] = [];
    for (const num of nums) {
      const choice = candidates.best();
      if (!choice) {
        for (const e of chosen) table.drop(e, now);
        return null;
      }
      victims.push(...choice.victims);
      chosen.push(table.hold(choice.machine, job.spec.id, job, num, attempt, now));
      candidates.placed(choice.machine);
    }
    return victims;
  }

  /**
   * Until every machine is known, tasks of old jobs may be where we have not looked yet: the most that they
   * can be counts against their team's limit, or a new job could take the team over it.
   */
  private unseen(): Map<string, { cpus: number; gpus: number }> {
    const out = new Map<string, { cpus: number; gpus: number }>();
    if (this.deps.oldJobsOpen()) return out;
    for (const job of this.deps.book.all()) {
      if (job.fresh) continue;
      const n = Math.max(0, job.spec.tasks - job.finishedCount - job.held.size);
      const sum = out.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
      out.set(job.spec.team, { cpus: sum.cpus + n * job.spec.cpus, gpus: sum.gpus + n * job.spec.gpus });
    }
    return out;
  }

  /** The team's own less urgent work leaves its room under the limit; the start waits until it is surely gone. */
  private makeQuota(job: Job): void {
    let leaving = 0;
    const victims: Entry[] = [];
    for (const other of this.deps.book.all()) {
      if (other.spec.team !== job.spec.team || other.spec.priority <= job.spec.priority) continue;
      for (const list of other.held.values())
        for (const e of list) {
          if (e.stop) leaving += other.spec.cpus;
          else if (!e.open) victims.push(e);
        }
    }
    victims.sort((a, b) => b.createdAt - a.createdAt);
    for (const v of victims) {
      if (leaving >= job.spec.cpus) return;
      leaving += v.job!.spec.cpus;
      this.stop(v, 0, 'quota for a more urgent job');
    }
  }

  // Rounds.

  /** DESIGN's placement round: flags slow machines and moves one young task to the machine with most free room. */
  round(): void {
    const { world, operator, table } = this.deps;
    const now = world.clock.now();
    if (now - this.lastRound < operator.round_s * 1000) return;
    this.lastRound = now;
    world.log.info({ ...this.work, unusable: this.unusable() }, 'round');
    this.work = { passes: 0, looks: 0, starts: 0 };
    let moves = operator.moves_per_round;
    const slowOnes = slowMachines(this.timings, operator.slowness_ratio, operator.slowness_jobs);
    for (const m of table.all()) {
      const slow = slowOnes.has(m.idx);
      if (slow !== m.slow) world.log.info({ id: m.id, slow }, 'machine speed');
      m.slow = slow;
    }
    for (const m of table.all()) {
      if (!m.slow || moves <= 0) continue;
      const e = selectMove(m, (j) => this.usual(j), now);
      const target = e && this.mostIdle(e.job!);
      if (!e || !target) continue;
      if (e.job!.spec.kind === 'gang') {
        for (const num of e.job!.held.keys()) e.job!.moved.add(num);
        this.stopGang(e.job!, 'gang moved whole off a slow machine');
        moves--;
        continue;
      }
      e.job!.moved.add(e.num);
      // The task starts again once its worker reports it stopped; the slow machine is then scored behind.
      this.stop(e, e.job!.spec.checkpointS > 0 ? e.job!.spec.saveS : 0, 'moved off a slow machine');
      moves--;
    }
    for (const m of table.all()) if (m.draining === 'notice' || m.draining === 'faulty') this.drain(m, now);
  }

  private mostIdle(job: Job): Machine | null {
    let best: Machine | null = null;
    const zoneOpen = openZones(job);
    for (const m of this.deps.table.all()) {
      if (!this.usable(m) || m.slow || !allowedOn(job.spec, m) || (zoneOpen && !zoneOpen(m.zone))) continue;
      if (m.freeCpus() < job.spec.cpus || m.freeMemory() < job.spec.memoryGb || m.freeGpus() < job.spec.gpus)
        continue;
      if (!best || m.freeCpus() > best.freeCpus()) best = m;
    }
    return best;
  }

  /** A task's usual run time, told by its job's other tasks; a gang's are one, so there it is told by its class. */
  private usual(job: Job): number | null {
    return job.spec.kind === 'gang' ? this.runTimes.usual(job.spec.cls) : this.timings.usual(job.idx);
  }

  /** Usual run time left of a task, in milliseconds; null if nothing is known. */
  private remaining(e: Entry, now: number): number | null {
    const usual = this.usual(e.job!) ?? this.runTimes.usual(e.job!.spec.cls);
    if (usual === null || e.state !== 'running' || e.runningSince === 0) return null;
    return Math.max(0, usual - (now - e.runningSince));
  }

  /**
   * The paper's Listing 3: tasks of a machine that goes away are spread over the others in round robin. What
   * would be done before the machine goes stays; a task is moved only when another machine has room for it.
   */
  private drain(m: Machine, now: number): void {
    if (!m.certain()) return;
    const left = m.noticeUntil === null ? Infinity : m.noticeUntil - now;
    let budget = this.deps.operator.drain_moves_per_round;
    const others = [...this.deps.table.all()].filter((x) => x !== m && this.usable(x));
    const taken = new Map<Machine, number>();
    for (const e of [...m.entries.values()]) {
      if (budget <= 0) return;
      if (!e.onMachine() || e.stop || e.open || !e.job) continue;
      const rest = this.remaining(e, now);
      if (rest !== null && rest < left * 0.8) continue;
      if (e.job.spec.kind === 'gang') {
        this.stopGang(e.job, 'drained', left / 1000);
        budget--;
        continue;
      }
      const target = this.nextInTurn(e.job, others, taken);
      if (!target) continue;
      taken.set(target, (taken.get(target) ?? 0) + e.job.spec.cpus);
      this.stop(e, e.job.spec.checkpointS > 0 ? Math.min(e.job.spec.saveS, left / 1000) : 0, 'drained');
      budget--;
    }
  }

  private nextInTurn(job: Job, others: Machine[], taken: Map<Machine, number>): Machine | null {
    for (let i = 0; i < others.length; i++) {
      const m = others[(this.drainNext + i) % others.length]!;
      if (!allowedOn(job.spec, m) || m.freeCpus() - (taken.get(m) ?? 0) < job.spec.cpus) continue;
      if (m.freeMemory() < job.spec.memoryGb || m.freeGpus() < job.spec.gpus) continue;
      this.drainNext = (this.drainNext + i + 1) % others.length;
      return m;
    }
    return null;
  }
}
