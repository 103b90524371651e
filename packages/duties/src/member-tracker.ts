/** Follows which controller processes are members, and since when. */
import type { Environment } from '@millring/state-access';
import { DUTIES, type Duty } from './duty.js';
import type { MemberView } from './duty-assignment.js';
import type { DutiesView } from './view.js';

/** What following the members needs of its process and of the settings. */
export interface MemberTrackerDependencies {
  environment: Environment;
  view: DutiesView;
  /** Name of this controller. */
  self: string;
  /** A controller counts as settled once the same process has been a member for so long. */
  settleMs: number;
  /** The leader, as far as is known. */
  leader(): string | null;
  /** This process is about to hold the duty. */
  isAcquiring(duty: Duty): boolean;
}

interface KnownMember {
  process: string;
  duties: readonly Duty[];
  /** By the steady clock. */
  since: number;
}

/** Times count from when this process saw a member first, so that no clocks are compared. */
export class MemberTracker {
  private readonly known = new Map<string, KnownMember>();

  constructor(private readonly deps: MemberTrackerDependencies) {}

  /** Takes over what the view shows now. */
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

  /** This process has been seen as a member for at least `durationMs`. */
  isSelfKnownFor(durationMs: number, now: number): boolean {
    const self = this.known.get(this.deps.self);
    return self !== undefined && now - self.since >= durationMs;
  }

  /** The members as duties are assigned to them. */
  memberViews(): MemberView[] {
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

  /** What this process is about to hold counts as well. */
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
