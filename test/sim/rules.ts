import type { JobReply, JobState, JobSubmission } from './wire/users.js';

export interface JobFacts {
  spec: JobSubmission;
  toldAccepted: boolean;
  submitted: boolean;
  cancelAsked: boolean;
  toldCancelledAt: number | null;
  toldDoneAt: number | null;
  finished: Set<number>;
  submittedAt: number;
  /** When a question about it was last answered, or it was accepted. */
  answeredAt: number;
  firstStartAt: number | null;
  /** Since when a task of it waits, and none starts, although a machine that fits has room, as last looked at. */
  waitsSince: number | null;
  /** Of a gang: progress that is safe, in milliseconds. */
  progressMs: number;
}

export function jobFacts(spec: JobSubmission, now: number): JobFacts {
  return {
    spec,
    toldAccepted: false,
    submitted: true,
    cancelAsked: false,
    toldCancelledAt: null,
    toldDoneAt: null,
    finished: new Set(),
    submittedAt: now,
    answeredAt: now,
    firstStartAt: null,
    waitsSince: null,
    progressMs: 0,
  };
}

/** Once all troubles are over, no accepted job may go without an answer for longer. */
const FORGOTTEN_MS = 75_000;
/** Nor may one wait for longer beside a machine that fits and has room. */
const WAITING_MS = 90_000;
/** The largest jobs of a class begin within this time. */
const LARGEST_BEGIN_MS = 240_000;

interface Place {
  machine: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** A machine with what is free on it. */
export interface Room extends Place {
  freeCpus: number;
}

/** PROTOCOL's rules, looked at from outside the service: what runs where, and what users were told. */
export class Rules {
  readonly broken: string[] = [];
  readonly jobs = new Map<string, JobFacts>();
  /** Which task is on which machines now. */
  readonly on = new Map<string, Place[]>();
  starts = 0;
  /** Tasks that were started once more after they were done. */
  readonly startsAfterDone: string[] = [];
  /** Starts after a confirmed cancellation: how long after it. */
  readonly startsCancelled: number[] = [];

  constructor(
    private readonly now: () => number,
    private readonly cancelMs: number,
    private readonly limits: Map<string, number>,
  ) {}

  break(rule: string, detail: string): void {
    this.broken.push(`${Math.round(this.now())} ${rule}: ${detail}`);
  }

  /** The same by job, and what each team uses: large runs ask at every start. */
  private readonly byJob = new Map<string, Set<string>>();
  private readonly usedBy = new Map<string, number>();
  private readonly cancelled = new Map<string, JobFacts>();

  private *tasksOf(job: string): Generator<Place> {
    for (const task of this.byJob.get(job) ?? []) yield* this.on.get(task) ?? [];
  }

  cpusOf(task: string): number {
    return this.jobs.get(task.slice(0, task.lastIndexOf('/')))!.spec.cpus;
  }

  /** What the team's tasks use now. */
  usedCpus(team: string): number {
    return this.usedBy.get(team) ?? 0;
  }

  private use(job: JobFacts, sign: number): void {
    const { team } = job.spec;
    this.usedBy.set(team, (this.usedBy.get(team) ?? 0) + sign * job.spec.cpus);
  }

  start(task: string, place: Place): void {
    this.starts++;
    const id = task.slice(0, task.lastIndexOf('/'));
    const job = this.jobs.get(id);
    if (!job?.submitted) {
      this.break('invented', `${task} started`);
      return;
    }
    if (job.finished.has(Number(task.slice(task.lastIndexOf('/') + 1))))
      this.startsAfterDone.push(task);
    const { spec } = job;
    const there = this.on.get(task) ?? [];
    if (there.length > 0)
      this.break('ran_twice', `${task} on ${place.machine} and ${there[0].machine}`);
    this.checkPlace(task, spec, place);
    this.checkZones(task, spec, place, [...this.tasksOf(id)]);
    if (job.toldCancelledAt !== null) this.startsCancelled.push(this.now() - job.toldCancelledAt);
    job.firstStartAt ??= this.now();
    job.waitsSince = null;
    this.on.set(task, [...there, place]);
    this.byJob.set(id, (this.byJob.get(id) ?? new Set()).add(task));
    this.use(job, 1);
    const limit = this.limits.get(spec.team) ?? Infinity;
    if (this.usedBy.get(spec.team)! > limit + 1e-6) this.break('quota', `${spec.team} by ${task}`);
  }

  private checkPlace(task: string, spec: JobSubmission, place: Place): void {
    const types = spec.machineTypes;
    if (types && !types.includes(place.type))
      this.break('wrong_place', `${task} on type ${place.type}`);
    if (spec.zone && spec.zone !== place.zone)
      this.break('wrong_place', `${task} in zone ${place.zone}`);
    if (place.spot && !spec.spot) this.break('wrong_place', `${task} on a spot machine`);
  }

  /** Given where the job's other tasks are. */
  private checkZones(task: string, spec: JobSubmission, place: Place, others: Place[]): void {
    if (spec.oneZone && others.some((p) => p.zone !== place.zone))
      this.break('wrong_place', `${task} not in one zone`);
    if (!spec.spread) return;
    const same = others.filter((p) => p.zone === place.zone).length + 1;
    if (same > Math.ceil(spec.tasks / 2))
      this.break('wrong_place', `${task}: ${same} in ${place.zone}`);
  }

  leave(task: string, machine: string, done: boolean): void {
    const there = this.on.get(task) ?? [];
    const left = there.filter((p) => p.machine !== machine);
    const slash = task.lastIndexOf('/');
    const job = this.jobs.get(task.slice(0, slash));
    if (job) for (let i = left.length; i < there.length; i++) this.use(job, -1);
    if (left.length > 0) this.on.set(task, left);
    else {
      this.on.delete(task);
      this.byJob.get(task.slice(0, slash))?.delete(task);
    }
    if (done) job?.finished.add(Number(task.slice(slash + 1)));
  }

  /** An answer to a request that was sent at `asked`: what was told before then must stand. */
  told(id: string, { status, job: answered }: JobReply, asked: number): void {
    const job = this.jobs.get(id);
    if (status === 404 && job?.toldAccepted) this.break('forgotten', id);
    if (!answered) return;
    if (!job?.submitted) {
      this.break('invented', id);
      return;
    }
    job.toldAccepted = true;
    job.answeredAt = this.now();
    this.checkStands(id, job, answered.state, asked);
    if (answered.state === 'cancelled') {
      if (!job.cancelAsked) this.break('went_back', `${id} cancelled by nobody`);
      job.toldCancelledAt ??= this.now();
      this.cancelled.set(id, job);
    }
    if (answered.state === 'done') {
      job.toldDoneAt ??= this.now();
      if (job.finished.size < job.spec.tasks) this.break('not_done', id);
    }
  }

  /** A job that was called done or cancelled before the question stays so. */
  private checkStands(id: string, job: JobFacts, state: JobState, asked: number): void {
    if (job.toldDoneAt !== null && job.toldDoneAt <= asked && state !== 'done')
      this.break('went_back', `${id} was done, now ${state}`);
    if (job.toldCancelledAt !== null && job.toldCancelledAt <= asked && state !== 'cancelled')
      this.break('went_back', `${id} was cancelled`);
  }

  /** All troubles are over since `from`: nobody's job may go without an answer. */
  checkKnown(from: number): void {
    for (const [id, job] of this.jobs) {
      if (
        !job.toldAccepted ||
        job.cancelAsked ||
        this.now() - Math.max(from, job.answeredAt) <= FORGOTTEN_MS
      )
        continue;
      if (!this.broken.some((b) => b.includes(`forgotten: ${id}`))) this.break('forgotten', id);
    }
  }

  private fits(job: JobFacts, id: string, room: Room): boolean {
    const { spec } = job;
    const types = spec.machineTypes;
    if (types && !types.includes(room.type)) return false;
    if ((spec.zone && spec.zone !== room.zone) || (room.spot && !spec.spot)) return false;
    const others = [...this.tasksOf(id)];
    if (spec.oneZone && others.some((p) => p.zone !== room.zone)) return false;
    const same = others.filter((p) => p.zone === room.zone).length;
    if (spec.spread && same + 1 > Math.ceil(spec.tasks / 2)) return false;
    return room.freeCpus >= spec.cpus;
  }

  /** Room for one task, or for a whole gang of which nothing is anywhere. */
  private hasRoom(job: JobFacts, id: string, rooms: Room[]): boolean {
    const fitting = rooms.filter((r) => this.fits(job, id, r));
    if (job.spec.kind !== 'gang') return fitting.length > 0;
    if ((this.byJob.get(id)?.size ?? 0) > 0) return false;
    const zones = job.spec.oneZone ? [...new Set(fitting.map((r) => r.zone))] : [null];
    return zones.some((zone) => {
      const there = fitting.filter((r) => zone === null || r.zone === zone);
      const count = there.reduce((sum, r) => sum + Math.floor(r.freeCpus / job.spec.cpus), 0);
      return count >= job.spec.tasks;
    });
  }

  /** All troubles are over: no job is left waiting beside room, with its team under its limit. */
  checkWaiting(rooms: Room[], fetching: string[]): void {
    const used = new Map(this.usedBy);
    for (const task of fetching) {
      const { team } = this.jobs.get(task.slice(0, task.lastIndexOf('/')))!.spec;
      used.set(team, (used.get(team) ?? 0) + this.cpusOf(task));
    }
    for (const [id, job] of this.jobs) {
      const { team } = job.spec;
      // A gang starts whole or not at all, so that all of it has to fit under the limit.
      const together = job.spec.kind === 'gang' ? job.spec.tasks : 1;
      const cpus = (used.get(team) ?? 0) + together * job.spec.cpus;
      const isUnderLimit = cpus <= (this.limits.get(team) ?? Infinity);
      const waits = this.hasTasksLeft(id, job) && isUnderLimit && this.hasRoom(job, id, rooms);
      this.noteWaiting(id, job, waits);
    }
  }

  private hasTasksLeft(id: string, job: JobFacts): boolean {
    if (!job.toldAccepted || job.cancelAsked) return false;
    return job.spec.tasks - job.finished.size - (this.byJob.get(id)?.size ?? 0) > 0;
  }

  private noteWaiting(id: string, job: JobFacts, waits: boolean): void {
    if (!waits) {
      job.waitsSince = null;
      return;
    }
    job.waitsSince ??= this.now();
    if (
      this.now() - job.waitsSince > WAITING_MS &&
      !this.broken.some((b) => b.includes(`waits: ${id}`))
    )
      this.break('waits', id);
  }

  /** Of each class, each team and the largest jobs of each class at least half are served, and these begin in time. */
  checkServed(): void {
    const groups = new Map<string, JobFacts[]>();
    const add = (key: string, j: JobFacts): void =>
      void groups.set(key, [...(groups.get(key) ?? []), j]);
    const accepted = [...this.jobs.values()].filter((j) => j.toldAccepted && !j.cancelAsked);
    for (const job of accepted) {
      add(`class ${job.spec.jobClass}`, job);
      add(`team ${job.spec.team}`, job);
    }
    for (const [key, list] of [...groups]) {
      if (!key.startsWith('class')) continue;
      const bySize = [...list].sort((a, b) => b.spec.tasks - a.spec.tasks);
      const largest = bySize.slice(0, Math.ceil(list.length / 10));
      groups.set(`largest of ${key}`, largest);
      for (const job of largest)
        if ((job.firstStartAt ?? this.now()) - job.submittedAt > LARGEST_BEGIN_MS)
          this.break('unserved', `${job.spec.id}, among the largest, begins late`);
    }
    for (const [key, list] of groups) {
      const served = list.filter((j) =>
        j.spec.kind === 'service' ? j.firstStartAt !== null : j.toldDoneAt !== null,
      );
      if (served.length * 2 < list.length)
        this.break('unserved', `${key}: ${served.length} of ${list.length}`);
    }
  }

  /** After each step. */
  check(): void {
    for (const [id, job] of this.cancelled)
      if (this.now() > job.toldCancelledAt! + this.cancelMs)
        for (const task of this.byJob.get(id) ?? [])
          if (!this.broken.some((b) => b.includes(`ran_cancelled: ${task}`)))
            this.break('ran_cancelled', task);
  }
}
