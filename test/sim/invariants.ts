import type { JobReply, JobState, JobSubmission } from './wire/users.js';

export interface ObservedJob {
  spec: JobSubmission;
  reportedAccepted: boolean;
  submitted: boolean;
  cancelRequested: boolean;
  reportedCancelledAt: number | null;
  reportedDoneAt: number | null;
  finishedTasks: Set<number>;
  submittedAt: number;
  /** When a question about it was last answered, or it was accepted. */
  answeredAt: number;
  firstStartAt: number | null;
  /** Since when a task of it waits, and none starts, although a machine that fits has room, as last looked at. */
  waitingSince: number | null;
  /** Of a gang: progress that is safe, in milliseconds. */
  progressMs: number;
}

export function observedJob(spec: JobSubmission, now: number): ObservedJob {
  return {
    spec,
    reportedAccepted: false,
    submitted: true,
    cancelRequested: false,
    reportedCancelledAt: null,
    reportedDoneAt: null,
    finishedTasks: new Set(),
    submittedAt: now,
    answeredAt: now,
    firstStartAt: null,
    waitingSince: null,
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
export interface MachineRoom extends Place {
  freeCpus: number;
}

/** PROTOCOL's rules, looked at from outside the service: what runs where, and what users were told. */
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

  recordViolation(rule: string, detail: string): void {
    this.violations.push(`${Math.round(this.now())} ${rule}: ${detail}`);
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
    this.checkPlace(task, spec, place);
    this.checkZones(task, spec, place, [...this.placesOfJob(id)]);
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

  private checkPlace(task: string, spec: JobSubmission, place: Place): void {
    const types = spec.machineTypes;
    if (types && !types.includes(place.type))
      this.recordViolation('wrong_place', `${task} on type ${place.type}`);
    if (spec.zone && spec.zone !== place.zone)
      this.recordViolation('wrong_place', `${task} in zone ${place.zone}`);
    if (place.spot && !spec.spot) this.recordViolation('wrong_place', `${task} on a spot machine`);
  }

  /** Given where the job's other tasks are. */
  private checkZones(task: string, spec: JobSubmission, place: Place, others: Place[]): void {
    if (spec.oneZone && others.some((p) => p.zone !== place.zone))
      this.recordViolation('wrong_place', `${task} not in one zone`);
    if (!spec.spread) return;
    const same = others.filter((p) => p.zone === place.zone).length + 1;
    if (same > Math.ceil(spec.tasks / 2))
      this.recordViolation('wrong_place', `${task}: ${same} in ${place.zone}`);
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
  recordAnswer(id: string, { status, job: answered }: JobReply, asked: number): void {
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
    if (answered.state === 'cancelled') {
      if (!job.cancelRequested) this.recordViolation('went_back', `${id} cancelled by nobody`);
      job.reportedCancelledAt ??= this.now();
      this.cancelled.set(id, job);
    }
    if (answered.state === 'done') {
      job.reportedDoneAt ??= this.now();
      if (job.finishedTasks.size < job.spec.tasks) this.recordViolation('not_done', id);
    }
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

  /** All troubles are over since `from`: nobody's job may go without an answer. */
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

  private fits(job: ObservedJob, id: string, room: MachineRoom): boolean {
    const { spec } = job;
    const types = spec.machineTypes;
    if (types && !types.includes(room.type)) return false;
    if ((spec.zone && spec.zone !== room.zone) || (room.spot && !spec.spot)) return false;
    const others = [...this.placesOfJob(id)];
    if (spec.oneZone && others.some((p) => p.zone !== room.zone)) return false;
    const same = others.filter((p) => p.zone === room.zone).length;
    if (spec.spread && same + 1 > Math.ceil(spec.tasks / 2)) return false;
    return room.freeCpus >= spec.cpus;
  }

  /** Room for one task, or for a whole gang of which nothing is anywhere. */
  private hasRoom(job: ObservedJob, id: string, rooms: MachineRoom[]): boolean {
    const fitting = rooms.filter((r) => this.fits(job, id, r));
    if (job.spec.kind !== 'gang') return fitting.length > 0;
    if ((this.placedTasksByJob.get(id)?.size ?? 0) > 0) return false;
    const zones = job.spec.oneZone ? [...new Set(fitting.map((r) => r.zone))] : [null];
    return zones.some((zone) => {
      const there = fitting.filter((r) => zone === null || r.zone === zone);
      const count = there.reduce((sum, r) => sum + Math.floor(r.freeCpus / job.spec.cpus), 0);
      return count >= job.spec.tasks;
    });
  }

  /** All troubles are over: no job is left waiting beside room, with its team under its limit. */
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
    const groups = new Map<string, ObservedJob[]>();
    const add = (key: string, j: ObservedJob): void =>
      void groups.set(key, [...(groups.get(key) ?? []), j]);
    const accepted = [...this.jobs.values()].filter(
      (j) => j.reportedAccepted && !j.cancelRequested,
    );
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
          this.recordViolation('unserved', `${job.spec.id}, among the largest, begins late`);
    }
    for (const [key, list] of groups) {
      const served = list.filter((j) =>
        j.spec.kind === 'service' ? j.firstStartAt !== null : j.reportedDoneAt !== null,
      );
      if (served.length * 2 < list.length)
        this.recordViolation('unserved', `${key}: ${served.length} of ${list.length}`);
    }
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
