/** Tracks which controller processes are members, and since when. */
import type { Environment } from '@millring/state-access';
import { DUTIES, type Duty } from './duty.js';
import type { MemberStatus } from './duty-assignment.js';
import type { DutiesView } from './view.js';

/** Dependencies of `MemberTracker`: components of the process and values of the settings. */
export interface MemberTrackerDependencies {
  environment: Environment;
  view: DutiesView;
  /** Name of this controller. */
  self: string;
  /** A controller counts as settled once the same process has been a member for this time, in milliseconds. */
  settleMs: number;
  /** Name of the leader as last known to this process; null if unknown. */
  leader(): string | null;
  /** Whether this process is acquiring the duty. */
  isAcquiring(duty: Duty): boolean;
}

interface KnownMember {
  process: string;
  duties: readonly Duty[];
  /** When this process first saw the member, by the monotonic clock. */
  since: number;
}

/**
 * The members that this process knows. The time of a membership counts from when this process first saw the member, so
 * that clocks of different machines are never compared.
 */
export class MemberTracker {
  private readonly known = new Map<string, KnownMember>();

  constructor(private readonly deps: MemberTrackerDependencies) {}

  /** Updates the known members from the view. */
  update(): void {
    const { environment, view } = this.deps;
    const now = environment.clock.now();
    const present = new Set<string>();
    for (const [name, { value }] of view.members()) {
      present.add(name);
      if (this.known.get(name)?.process !== value.process)
        this.known.set(name, { ...value, since: now });
    }
    for (const name of this.known.keys()) if (!present.has(name)) this.known.delete(name);
  }

  /** Whether this process has been known as a member for at least `durationMs`. */
  isSelfKnownFor(durationMs: number, now: number): boolean {
    const self = this.known.get(this.deps.self);
    return self !== undefined && now - self.since >= durationMs;
  }

  /** The known members, with the properties that the assignment of duties depends on. */
  memberStatuses(): MemberStatus[] {
    const { environment, settleMs } = this.deps;
    const now = environment.clock.now();
    const leader = this.deps.leader();
    return [...this.known].map(([name, { since, duties }]) => ({
      name,
      duties,
      settled: now - since >= settleMs,
      isLeader: name === leader,
      heldCount: this.countHeldBy(name),
    }));
  }

  /** Number of duties that the controller holds; for this process, including those that it is acquiring. */
  private countHeldBy(name: string): number {
    const isSelf = name === this.deps.self;
    return DUTIES.filter(
      (duty) => this.holderName(duty) === name || (isSelf && this.deps.isAcquiring(duty)),
    ).length;
  }

  private holderName(duty: Duty): string | null {
    const entry = this.deps.view.holder(duty);
    return entry.kind === 'present' ? entry.value.controller : null;
  }
}
