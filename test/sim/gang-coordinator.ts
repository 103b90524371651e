import type { VirtualClock } from './clock.js';
import type { SeededRandom } from './random.js';
import type { JobFacts } from './rules.js';
import type { ReportedExitCause } from './wire/workers.js';

export const GANG_WAIT_MS = 6000;
export const GANG_PEER_MS = 2000;
const LOOK_MS = 250;

/** A task of a gang that has its image, as its worker stands for it. */
export interface Member {
  run(): void;
  exit(cause: ReportedExitCause): void;
  /** Its machine stands still. */
  hangs(): boolean;
  /** How much longer everything takes there. */
  slow: number;
}

interface Gang {
  state: 'gathering' | 'running' | 'stopping' | 'over';
  members: Map<number, Member>;
  told: Map<number, number>;
  /** When it began to run, and how far the job was then, in milliseconds of progress. */
  beganAt: number;
  base: number;
  pace: number;
  /** Progress at the first stop, and when that was. */
  frozen: { at: number; progress: number } | null;
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

  arrive(job: JobFacts, attempt: number, taskNumber: number, member: Member): void {
    const key = `${job.spec.id}#${attempt}`;
    let g = this.gangs.get(key);
    if (!g) {
      g = {
        state: 'gathering',
        members: new Map(),
        told: new Map(),
        beganAt: 0,
        base: 0,
        pace: 1,
        frozen: null,
      };
      this.gangs.set(key, g);
    }
    const gang = g;
    gang.members.set(taskNumber, member);
    this.clock.after(GANG_WAIT_MS, () => {
      const waits = gang.state !== 'running' && gang.state !== 'stopping';
      if (waits && gang.members.get(taskNumber) === member)
        this.leave(job, attempt, taskNumber, 'incomplete');
    });
    if (gang.state === 'gathering' && gang.members.size === job.spec.tasks) this.begin(job, gang);
  }

  private begin(job: JobFacts, g: Gang): void {
    g.state = 'running';
    this.begun++;
    g.beganAt = this.clock.time;
    g.base = job.progressMs;
    g.pace = Math.max(...[...g.members.values()].map((m) => m.slow));
    for (const m of g.members.values()) m.run();
    const left = job.finished.size > 0 ? 1 : (job.spec.durationS * 1000 - g.base) * g.pace;
    this.clock.after(Math.max(1, left), () => {
      if (g.state !== 'running') return;
      if ([...g.members.values()].some((m) => m.hangs())) {
        this.fail(job, g);
        return;
      }
      for (const m of this.disband(g)) m.exit('done');
    });
    this.watch(job, g);
  }

  /** The others notice one that hangs. */
  private watch(job: JobFacts, g: Gang): void {
    if (g.state !== 'running') return;
    if ([...g.members.values()].some((m) => m.hangs())) this.fail(job, g);
    else
      this.clock.after(LOOK_MS, () => {
        this.watch(job, g);
      });
  }

  /** Back to the last checkpoint; whoever is left goes within a while. */
  private fail(job: JobFacts, g: Gang): void {
    if (g.state === 'over') return;
    const every = job.spec.checkpointEveryS * 1000;
    const progress = g.frozen?.progress ?? this.progress(g);
    if (every > 0) job.progressMs = Math.max(job.progressMs, Math.floor(progress / every) * every);
    for (const m of this.disband(g))
      this.clock.after(this.random.between(0, GANG_PEER_MS), () => {
        m.exit('peer_lost');
      });
  }

  private disband(g: Gang): Member[] {
    const all = [...g.members.values()];
    g.state = 'over';
    g.members.clear();
    return all;
  }

  private progress(g: Gang): number {
    return g.base + (this.clock.time - g.beganAt) / g.pace;
  }

  /** Gone from its machine, for whatever reason: the others of a gang that runs fall apart. */
  leave(job: JobFacts, attempt: number, taskNumber: number, cause: ReportedExitCause | null): void {
    const g = this.gangs.get(`${job.spec.id}#${attempt}`);
    const member = g?.members.get(taskNumber);
    if (!g || !member) return;
    g.members.delete(taskNumber);
    if (cause === 'incomplete') this.incomplete++;
    if (g.state === 'running' || g.state === 'stopping') this.fail(job, g);
    else if (g.state === 'gathering' && cause !== 'incomplete') this.replaced++;
    if (cause !== null) member.exit(cause);
  }

  stop(job: JobFacts, attempt: number, taskNumber: number, graceS: number): void {
    const g = this.gangs.get(`${job.spec.id}#${attempt}`);
    const saveS = job.spec.checkpointS;
    const saves = job.spec.checkpointEveryS > 0 && graceS >= saveS;
    if (!g || !saves || (g.state !== 'running' && g.state !== 'stopping')) {
      this.leave(job, attempt, taskNumber, 'stopped');
      return;
    }
    if (g.told.has(taskNumber)) return;
    g.told.set(taskNumber, this.clock.time);
    if (g.state === 'running') {
      g.state = 'stopping';
      g.frozen = { at: this.clock.time, progress: this.progress(g) };
      this.clock.after(GANG_PEER_MS, () => {
        if (g.state === 'stopping' && g.told.size < job.spec.tasks) this.fail(job, g);
      });
    }
    if (g.told.size < job.spec.tasks) return;
    this.clock.after(saveS * 1000, () => {
      if (g.state !== 'stopping') return;
      job.progressMs = Math.max(job.progressMs, g.frozen!.progress);
      for (const m of this.disband(g)) m.exit('stopped');
    });
  }
}
