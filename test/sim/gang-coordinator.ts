/** Simulates the communication between the tasks of a gang. */
import type { VirtualClock } from './clock.js';
import type { SeededRandom } from './random.js';
import type { ObservedJob } from './observed-job.js';
import type { ReportedExitCause } from './wire/workers.js';

/** A task of a gang exits if the gang has not started within this time after the task got its image. */
export const GANG_WAIT_MS = 6000;
/** The tasks of a gang exit within this time after one of them is lost. */
export const GANG_PEER_MS = 2000;
const HANG_CHECK_INTERVAL_MS = 250;

/** A task of a gang that has its image, as its worker presents it to the coordinator. */
export interface Member {
  /** Called when the gang has started. */
  run(): void;
  /** Makes the task exit with this cause. */
  exit(cause: ReportedExitCause): void;
  /** Whether its machine hangs. */
  isHanging(): boolean;
  /** Factor by which everything takes longer on its machine. */
  slowness: number;
}

interface Gang {
  state: 'gathering' | 'running' | 'stopping' | 'disbanded';
  /** Members by task number. */
  members: Map<number, Member>;
  /** The members that got a stop request: virtual time of each one's first request, by task number. */
  stopRequests: Map<number, number>;
  /** Virtual time at which the gang started, and the job's progress at that time, both in milliseconds. */
  startedAt: number;
  progressAtStart: number;
  /** The largest slowness of its members, which slows down the whole gang. */
  slowness: number;
  /** Virtual time of the gang's first stop request and the progress at that time; null if there was none. */
  firstStop: { at: number; progress: number } | null;
}

function newGang(): Gang {
  return {
    state: 'gathering',
    members: new Map(),
    stopRequests: new Map(),
    startedAt: 0,
    progressAtStart: 0,
    slowness: 1,
    firstStop: null,
  };
}

/** Simulates, for all workers, how the tasks of each attempt find each other and start, fail and stop together. */
export class GangCoordinator {
  private readonly gangs = new Map<string, Gang>();
  /** Number of gangs that started. */
  begun = 0;
  /** Number of members that were lost while their gang was gathering. */
  lostWhileGathering = 0;
  /** Number of members that gave up because their gang did not start within `GANG_WAIT_MS`. */
  incomplete = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
  ) {}

  /** Number of attempts of which at least one task got its image. */
  attempts(): number {
    return this.gangs.size;
  }

  /** Whether all tasks of the attempt were told to stop in time, and save. */
  isSaving(job: ObservedJob, attempt: number): boolean {
    const gang = this.gangs.get(`${job.spec.id}#${attempt}`);
    return gang?.state === 'stopping' && gang.stopRequests.size === job.spec.tasks;
  }

  /** Adds a task that has its image to its gang, and starts the gang if the task is the last one. */
  arrive(job: ObservedJob, attempt: number, taskNumber: number, member: Member): void {
    const key = `${job.spec.id}#${attempt}`;
    const gang = this.gangs.get(key) ?? newGang();
    this.gangs.set(key, gang);
    gang.members.set(taskNumber, member);
    this.clock.after(GANG_WAIT_MS, () => {
      const isWaiting = gang.state !== 'running' && gang.state !== 'stopping';
      if (isWaiting && gang.members.get(taskNumber) === member)
        this.leave(job, attempt, taskNumber, 'incomplete');
    });
    if (gang.state === 'gathering' && gang.members.size === job.spec.tasks) this.begin(job, gang);
  }

  private begin(job: ObservedJob, gang: Gang): void {
    gang.state = 'running';
    this.begun++;
    gang.startedAt = this.clock.time;
    gang.progressAtStart = job.progressMs;
    gang.slowness = Math.max(...[...gang.members.values()].map((m) => m.slowness));
    for (const member of gang.members.values()) member.run();
    const remainingMs =
      job.finishedTasks.size > 0
        ? 1
        : (job.spec.durationS * 1000 - gang.progressAtStart) * gang.slowness;
    this.clock.after(Math.max(1, remainingMs), () => {
      if (gang.state !== 'running') return;
      if ([...gang.members.values()].some((m) => m.isHanging())) {
        this.fail(job, gang);
        return;
      }
      for (const member of this.disband(gang)) member.exit('done');
    });
    this.watch(job, gang);
  }

  /** Checks regularly whether a member hangs, which the other members notice, and then fails the gang. */
  private watch(job: ObservedJob, gang: Gang): void {
    if (gang.state !== 'running') return;
    if ([...gang.members.values()].some((m) => m.isHanging())) this.fail(job, gang);
    else
      this.clock.after(HANG_CHECK_INTERVAL_MS, () => {
        this.watch(job, gang);
      });
  }

  /** Resets the job to its last checkpoint; the remaining members exit within `GANG_PEER_MS`. */
  private fail(job: ObservedJob, gang: Gang): void {
    if (gang.state === 'disbanded') return;
    const checkpointIntervalMs = job.spec.checkpointIntervalS * 1000;
    const progress = gang.firstStop?.progress ?? this.progress(gang);
    if (checkpointIntervalMs > 0)
      job.progressMs = Math.max(
        job.progressMs,
        Math.floor(progress / checkpointIntervalMs) * checkpointIntervalMs,
      );
    for (const member of this.disband(gang))
      this.clock.after(this.random.between(0, GANG_PEER_MS), () => {
        member.exit('peer_lost');
      });
  }

  /** Ends the gang and removes its members. Returns the former members. */
  private disband(gang: Gang): Member[] {
    const all = [...gang.members.values()];
    gang.state = 'disbanded';
    gang.members.clear();
    return all;
  }

  private progress(gang: Gang): number {
    return gang.progressAtStart + (this.clock.time - gang.startedAt) / gang.slowness;
  }

  /**
   * Removes a task that has left its machine for any reason, which makes a running or stopping gang fail. A task with a
   * cause exits with it.
   */
  leave(
    job: ObservedJob,
    attempt: number,
    taskNumber: number,
    cause: ReportedExitCause | null,
  ): void {
    const gang = this.gangs.get(`${job.spec.id}#${attempt}`);
    const member = gang?.members.get(taskNumber);
    if (!gang || !member) return;
    gang.members.delete(taskNumber);
    if (cause === 'incomplete') this.incomplete++;
    if (gang.state === 'running' || gang.state === 'stopping') this.fail(job, gang);
    else if (gang.state === 'gathering' && cause !== 'incomplete') this.lostWhileGathering++;
    if (cause !== null) member.exit(cause);
  }

  /**
   * Stops a task. If the job saves checkpoints and the grace period suffices, the task waits until all the others are
   * stopped too and saves together with them; the gang fails if that takes longer than `GANG_PEER_MS`.
   */
  stop(job: ObservedJob, attempt: number, taskNumber: number, graceS: number): void {
    const gang = this.gangs.get(`${job.spec.id}#${attempt}`);
    const saveS = job.spec.saveS;
    const canSave = job.spec.checkpointIntervalS > 0 && graceS >= saveS;
    if (!gang || !canSave || (gang.state !== 'running' && gang.state !== 'stopping')) {
      this.leave(job, attempt, taskNumber, 'stopped');
      return;
    }
    if (gang.stopRequests.has(taskNumber)) return;
    gang.stopRequests.set(taskNumber, this.clock.time);
    if (gang.state === 'running') {
      gang.state = 'stopping';
      gang.firstStop = { at: this.clock.time, progress: this.progress(gang) };
      this.clock.after(GANG_PEER_MS, () => {
        if (gang.state === 'stopping' && gang.stopRequests.size < job.spec.tasks)
          this.fail(job, gang);
      });
    }
    if (gang.stopRequests.size < job.spec.tasks) return;
    this.clock.after(saveS * 1000, () => {
      if (gang.state !== 'stopping') return;
      job.progressMs = Math.max(job.progressMs, gang.firstStop!.progress);
      for (const member of this.disband(gang)) member.exit('stopped');
    });
  }
}
