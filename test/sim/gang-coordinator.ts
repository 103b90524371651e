/** Stand-in for what the tasks of a gang tell each other. */
import type { VirtualClock } from './clock.js';
import type { SeededRandom } from './random.js';
import type { ObservedJob } from './observed-job.js';
import type { ReportedExitCause } from './wire/workers.js';

/** A task of a gang gives up if the others are not there within this time. */
export const GANG_WAIT_MS = 6000;
/** Tasks of a gang end within this time after one of them is lost. */
export const GANG_PEER_MS = 2000;
const HANG_CHECK_INTERVAL_MS = 250;

/** A task of a gang that has its image, as its worker stands for it. */
export interface Member {
  run(): void;
  exit(cause: ReportedExitCause): void;
  /** Its machine stands still. */
  isHanging(): boolean;
  /** How much longer everything takes there. */
  slowness: number;
}

interface Gang {
  state: 'gathering' | 'running' | 'stopping' | 'disbanded';
  members: Map<number, Member>;
  stopRequests: Map<number, number>;
  /** When it began to run, and how far the job was then, in milliseconds of progress. */
  startedAt: number;
  progressAtStart: number;
  slowness: number;
  /** Progress at the first stop, and when that was. */
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

/** How the tasks of one attempt find each other: acted out for all workers at once. */
export class GangCoordinator {
  private readonly gangs = new Map<string, Gang>();
  /** How many gangs began, for tests. */
  begun = 0;
  replaced = 0;
  incomplete = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
  ) {}

  /** How many attempts had a task that got its image. */
  attempts(): number {
    return this.gangs.size;
  }

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

  /** The others notice one that hangs. */
  private watch(job: ObservedJob, gang: Gang): void {
    if (gang.state !== 'running') return;
    if ([...gang.members.values()].some((m) => m.isHanging())) this.fail(job, gang);
    else
      this.clock.after(HANG_CHECK_INTERVAL_MS, () => {
        this.watch(job, gang);
      });
  }

  /** Back to the last checkpoint; whoever is left goes within a while. */
  private fail(job: ObservedJob, gang: Gang): void {
    if (gang.state === 'disbanded') return;
    const checkpointIntervalMs = job.spec.checkpointEveryS * 1000;
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

  private disband(gang: Gang): Member[] {
    const all = [...gang.members.values()];
    gang.state = 'disbanded';
    gang.members.clear();
    return all;
  }

  private progress(gang: Gang): number {
    return gang.progressAtStart + (this.clock.time - gang.startedAt) / gang.slowness;
  }

  /** Gone from its machine, for whatever reason: the others of a gang that runs fall apart. */
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
    else if (gang.state === 'gathering' && cause !== 'incomplete') this.replaced++;
    if (cause !== null) member.exit(cause);
  }

  stop(job: ObservedJob, attempt: number, taskNumber: number, graceS: number): void {
    const gang = this.gangs.get(`${job.spec.id}#${attempt}`);
    const saveS = job.spec.checkpointS;
    const canSave = job.spec.checkpointEveryS > 0 && graceS >= saveS;
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
