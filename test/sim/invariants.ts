/** What must hold whatever fails, looked at from outside the service; `docs/safety.md` argues each of these. */
import type { ObservedJob } from './observed-job.js';
import { type MachineCapacity, type Place, fits, mismatches } from './places.js';
import { unservedJobs } from './service-level.js';
import type { JobReply, JobState } from './wire/users.js';

/** Once all faults are over, no accepted job may go without an answer for longer. */
const MAX_RESPONSE_GAP_MS = 75_000;
/** Nor may one wait for longer beside a machine that fits and has room. */
const MAX_WAITING_MS = 90_000;

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
    const otherPlaces = this.placesByTask.get(task) ?? [];
    if (otherPlaces.length > 0)
      this.recordViolation(
        'ran_twice',
        `${task} on ${place.machine} and ${otherPlaces[0].machine}`,
      );
    for (const mismatch of mismatches(spec, place, [...this.placesOfJob(id)]))
      this.recordViolation('wrong_place', `${task}${mismatch}`);
    if (job.reportedCancelledAt !== null)
      this.startsAfterCancellationMs.push(this.now() - job.reportedCancelledAt);
    job.firstStartAt ??= this.now();
    job.waitingSince = null;
    this.placesByTask.set(task, [...otherPlaces, place]);
    this.placedTasksByJob.set(id, (this.placedTasksByJob.get(id) ?? new Set()).add(task));
    this.addUsage(job, 1);
    const limit = this.limits.get(spec.team) ?? Infinity;
    if (this.usedCpusByTeam.get(spec.team)! > limit + 1e-6)
      this.recordViolation('quota', `${spec.team} by ${task}`);
  }

  taskLeft(task: string, machine: string, done: boolean): void {
    const placesBefore = this.placesByTask.get(task) ?? [];
    const remaining = placesBefore.filter((p) => p.machine !== machine);
    const slash = task.lastIndexOf('/');
    const job = this.jobs.get(task.slice(0, slash));
    if (job) for (let i = remaining.length; i < placesBefore.length; i++) this.addUsage(job, -1);
    if (remaining.length > 0) this.placesByTask.set(task, remaining);
    else {
      this.placesByTask.delete(task);
      this.placedTasksByJob.get(task.slice(0, slash))?.delete(task);
    }
    if (done) job?.finishedTasks.add(Number(task.slice(slash + 1)));
  }

  /** An answer to a request that was sent at `asked`: what was told before then must stand. */
  recordResponse(id: string, { status, job: reported }: JobReply, sentAt: number): void {
    const job = this.jobs.get(id);
    if (status === 404 && job?.reportedAccepted) this.recordViolation('forgotten', id);
    if (!reported) return;
    if (!job?.submitted) {
      this.recordViolation('invented', id);
      return;
    }
    job.reportedAccepted = true;
    job.lastResponseAt = this.now();
    this.checkFinalStateKept(id, job, reported.state, sentAt);
    if (reported.state === 'cancelled') this.reportedCancelled(id, job);
    if (reported.state === 'done') this.reportedDone(id, job);
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
  private checkFinalStateKept(id: string, job: ObservedJob, state: JobState, sentAt: number): void {
    if (job.reportedDoneAt !== null && job.reportedDoneAt <= sentAt && state !== 'done')
      this.recordViolation('went_back', `${id} was done, now ${state}`);
    if (
      job.reportedCancelledAt !== null &&
      job.reportedCancelledAt <= sentAt &&
      state !== 'cancelled'
    )
      this.recordViolation('went_back', `${id} was cancelled`);
  }

  /** All faults are over since `from`: nobody's job may go without an answer. */
  checkResponded(from: number): void {
    for (const [id, job] of this.jobs) {
      if (
        !job.reportedAccepted ||
        job.cancelRequested ||
        this.now() - Math.max(from, job.lastResponseAt) <= MAX_RESPONSE_GAP_MS
      )
        continue;
      if (!this.violations.some((b) => b.includes(`forgotten: ${id}`)))
        this.recordViolation('forgotten', id);
    }
  }

  /** Room for one task, or for a whole gang of which nothing is anywhere. */
  private hasCapacity(job: ObservedJob, id: string, capacities: MachineCapacity[]): boolean {
    const fitting = capacities.filter((machine) =>
      fits(job.spec, [...this.placesOfJob(id)], machine),
    );
    if (job.spec.kind !== 'gang') return fitting.length > 0;
    if ((this.placedTasksByJob.get(id)?.size ?? 0) > 0) return false;
    const zones = job.spec.oneZone ? [...new Set(fitting.map((machine) => machine.zone))] : [null];
    return zones.some((zone) => {
      const inSameZone = fitting.filter((machine) => zone === null || machine.zone === zone);
      const count = inSameZone.reduce(
        (sum, machine) => sum + Math.floor(machine.freeCpus / job.spec.cpus),
        0,
      );
      return count >= job.spec.tasks;
    });
  }

  /** All faults are over: no job is left waiting beside room, with its team under its limit. */
  checkWaiting(capacities: MachineCapacity[], fetching: string[]): void {
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
      const isWaiting =
        this.hasTasksLeft(id, job) && isUnderLimit && this.hasCapacity(job, id, capacities);
      this.recordWaiting(id, job, isWaiting);
    }
  }

  private hasTasksLeft(id: string, job: ObservedJob): boolean {
    if (!job.reportedAccepted || job.cancelRequested) return false;
    return job.spec.tasks - job.finishedTasks.size - (this.placedTasksByJob.get(id)?.size ?? 0) > 0;
  }

  private recordWaiting(id: string, job: ObservedJob, isWaiting: boolean): void {
    if (!isWaiting) {
      job.waitingSince = null;
      return;
    }
    job.waitingSince ??= this.now();
    if (
      this.now() - job.waitingSince > MAX_WAITING_MS &&
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
