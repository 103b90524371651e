/** What must hold whatever fails, looked at from outside the service; `docs/safety.md` argues each of these. */
import type { ObservedJob } from './observed-job.js';
import { type MachineRoom, type Place, fits, mismatches } from './places.js';
import { unservedJobs } from './service-level.js';
import type { JobResponse, JobState } from './wire/users.js';

/** Once all faults are over, no accepted job may go without an answer for longer. */
const FORGOTTEN_MS = 75_000;
/** Nor may one wait for longer beside a machine that fits and has room. */
const WAITING_MS = 90_000;

/** PROTOCOL's rules as invariants: what runs where, and what users were told. */
export class Invariants {
  readonly violations: string[] = [];
  readonly jobs = new Map<string, ObservedJob>();
  /** Which task is on which machines now. */
  readonly placesByTask = new Map<string, Place[]>();
  starts = 0;
  /** Tasks that were started once more after they were done. */
  readonly startsAfterFinish: string[] = [];
  /** Starts after a confirmed cancellation: how long after it. */
  readonly startsAfterCancellationMs: number[] = [];

  constructor(
    private readonly now: () => number,
    private readonly cancelMs: number,
    private readonly limits: Map<string, number>,
  ) {}

  recordViolation(invariant: string, detail: string): void {
    this.violations.push(`${Math.round(this.now())} ${invariant}: ${detail}`);
  }

  /** The same by job, and what each team uses: large runs ask at every start. */
  private readonly placedTasksByJob = new Map<string, Set<string>>();
  private readonly usedCpusByTeam = new Map<string, number>();
  private readonly cancelled = new Map<string, ObservedJob>();

  private *placesOfJob(job: string): Generator<Place> {
    for (const task of this.placedTasksByJob.get(job) ?? [])
      yield* this.placesByTask.get(task) ?? [];
  }

  cpusOf(task: string): number {
    return this.jobs.get(task.slice(0, task.lastIndexOf('/')))!.spec.cpus;
  }

  /** What the team's tasks use now. */
  usedCpus(team: string): number {
    return this.usedCpusByTeam.get(team) ?? 0;
  }

  private addUsage(job: ObservedJob, sign: number): void {
    const { team } = job.spec;
    this.usedCpusByTeam.set(team, (this.usedCpusByTeam.get(team) ?? 0) + sign * job.spec.cpus);
  }

  taskStarted(task: string, place: Place): void {
    this.starts++;
    const id = task.slice(0, task.lastIndexOf('/'));
    const job = this.jobs.get(id);
    if (!job?.submitted) {
      this.recordViolation('invented', `${task} started`);
      return;
    }
    if (job.finishedTasks.has(Number(task.slice(task.lastIndexOf('/') + 1))))
      this.startsAfterFinish.push(task);
    const { spec } = job;
    const there = this.placesByTask.get(task) ?? [];
    if (there.length > 0)
      this.recordViolation('ran_twice', `${task} on ${place.machine} and ${there[0].machine}`);
    for (const mismatch of mismatches(spec, place, [...this.placesOfJob(id)]))
      this.recordViolation('wrong_place', `${task}${mismatch}`);
    if (job.reportedCancelledAt !== null)
      this.startsAfterCancellationMs.push(this.now() - job.reportedCancelledAt);
    job.firstStartAt ??= this.now();
    job.waitingSince = null;
    this.placesByTask.set(task, [...there, place]);
    this.placedTasksByJob.set(id, (this.placedTasksByJob.get(id) ?? new Set()).add(task));
    this.addUsage(job, 1);
    const limit = this.limits.get(spec.team) ?? Infinity;
    if (this.usedCpusByTeam.get(spec.team)! > limit + 1e-6)
      this.recordViolation('quota', `${spec.team} by ${task}`);
  }

  taskLeft(task: string, machine: string, done: boolean): void {
    const there = this.placesByTask.get(task) ?? [];
    const left = there.filter((p) => p.machine !== machine);
    const slash = task.lastIndexOf('/');
    const job = this.jobs.get(task.slice(0, slash));
    if (job) for (let i = left.length; i < there.length; i++) this.addUsage(job, -1);
    if (left.length > 0) this.placesByTask.set(task, left);
    else {
      this.placesByTask.delete(task);
      this.placedTasksByJob.get(task.slice(0, slash))?.delete(task);
    }
    if (done) job?.finishedTasks.add(Number(task.slice(slash + 1)));
  }

  /** An answer to a request that was sent at `asked`: what was told before then must stand. */
  recordAnswer(id: string, { status, job: answered }: JobResponse, asked: number): void {
    const job = this.jobs.get(id);
    if (status === 404 && job?.reportedAccepted) this.recordViolation('forgotten', id);
    if (!answered) return;
    if (!job?.submitted) {
      this.recordViolation('invented', id);
      return;
    }
    job.reportedAccepted = true;
    job.answeredAt = this.now();
    this.checkFinalStateKept(id, job, answered.state, asked);
    if (answered.state === 'cancelled') this.reportedCancelled(id, job);
    if (answered.state === 'done') this.reportedDone(id, job);
  }

  private reportedCancelled(id: string, job: ObservedJob): void {
    if (!job.cancelRequested) this.recordViolation('went_back', `${id} cancelled by nobody`);
    job.reportedCancelledAt ??= this.now();
    this.cancelled.set(id, job);
  }

  private reportedDone(id: string, job: ObservedJob): void {
    job.reportedDoneAt ??= this.now();
    if (job.finishedTasks.size < job.spec.tasks) this.recordViolation('not_done', id);
  }

  /** A job that was called done or cancelled before the question stays so. */
  private checkFinalStateKept(id: string, job: ObservedJob, state: JobState, asked: number): void {
    if (job.reportedDoneAt !== null && job.reportedDoneAt <= asked && state !== 'done')
      this.recordViolation('went_back', `${id} was done, now ${state}`);
    if (
      job.reportedCancelledAt !== null &&
      job.reportedCancelledAt <= asked &&
      state !== 'cancelled'
    )
      this.recordViolation('went_back', `${id} was cancelled`);
  }

  /** All faults are over since `from`: nobody's job may go without an answer. */
  checkAnswered(from: number): void {
    for (const [id, job] of this.jobs) {
      if (
        !job.reportedAccepted ||
        job.cancelRequested ||
        this.now() - Math.max(from, job.answeredAt) <= FORGOTTEN_MS
      )
        continue;
      if (!this.violations.some((b) => b.includes(`forgotten: ${id}`)))
        this.recordViolation('forgotten', id);
    }
  }

  /** Room for one task, or for a whole gang of which nothing is anywhere. */
  private hasRoom(job: ObservedJob, id: string, rooms: MachineRoom[]): boolean {
    const fitting = rooms.filter((room) => fits(job.spec, [...this.placesOfJob(id)], room));
    if (job.spec.kind !== 'gang') return fitting.length > 0;
    if ((this.placedTasksByJob.get(id)?.size ?? 0) > 0) return false;
    const zones = job.spec.oneZone ? [...new Set(fitting.map((room) => room.zone))] : [null];
    return zones.some((zone) => {
      const there = fitting.filter((room) => zone === null || room.zone === zone);
      const count = there.reduce((sum, room) => sum + Math.floor(room.freeCpus / job.spec.cpus), 0);
      return count >= job.spec.tasks;
    });
  }

  /** All faults are over: no job is left waiting beside room, with its team under its limit. */
  checkWaiting(rooms: MachineRoom[], fetching: string[]): void {
    const used = new Map(this.usedCpusByTeam);
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

  private hasTasksLeft(id: string, job: ObservedJob): boolean {
    if (!job.reportedAccepted || job.cancelRequested) return false;
    return job.spec.tasks - job.finishedTasks.size - (this.placedTasksByJob.get(id)?.size ?? 0) > 0;
  }

  private noteWaiting(id: string, job: ObservedJob, waits: boolean): void {
    if (!waits) {
      job.waitingSince = null;
      return;
    }
    job.waitingSince ??= this.now();
    if (
      this.now() - job.waitingSince > WAITING_MS &&
      !this.violations.some((b) => b.includes(`waits: ${id}`))
    )
      this.recordViolation('waits', id);
  }

  /** Of each class, each team and the largest jobs of each class at least half are served, and these begin in time. */
  checkServed(): void {
    for (const unserved of unservedJobs(this.jobs.values(), this.now()))
      this.recordViolation('unserved', unserved);
  }

  /** After each step. */
  check(): void {
    for (const [id, job] of this.cancelled)
      if (this.now() > job.reportedCancelledAt! + this.cancelMs)
        for (const task of this.placedTasksByJob.get(id) ?? [])
          if (!this.violations.some((b) => b.includes(`ran_cancelled: ${task}`)))
            this.recordViolation('ran_cancelled', task);
  }
}
