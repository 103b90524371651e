/** One lease for each controller process that takes part in the duties; what it holds is attached to it. */
import { type Environment, type StateAccess, sleep } from '@millring/state-access';
import type { Duty } from './duty.js';
import { memberKey } from './records.js';

export interface MembershipDependencies {
  environment: Environment;
  store: StateAccess;
  self: string;
  /** Tells this process apart from all others of this controller. */
  process: string;
  leaseMs: number;
  /** The duties that this process may hold. */
  duties: readonly Duty[];
}

/** Steady clocks of different machines drift apart by at most this factor. */
const DRIFT = 1.001;
/** Between a look at the clock and what rests on it. */
const MARGIN_MS = 20;
const RENEWALS_PER_LEASE = 4;
const RETRY_MS = 200;

type MembershipState = 'out' | 'in' | 'leaving';

export class Membership {
  private lease: number | null = null;
  private validUntil = -Infinity;
  private state: MembershipState = 'out';
  /** Counts the times that this process has joined. */
  private term = 0;

  constructor(private readonly deps: MembershipDependencies) {}

  /** The lease surely lives at this very moment. */
  isValid(): boolean {
    return this.lease !== null && this.deps.environment.clock.now() < this.validUntil;
  }

  /** What is attached to another lease than this one was lost with it. */
  currentLease(): number | null {
    return this.lease;
  }

  isIn(): boolean {
    return this.state !== 'out';
  }

  /** Opens leases and renews them until `leave`. */
  async run(): Promise<void> {
    if (this.state !== 'out') return;
    this.state = 'in';
    const term = ++this.term;
    const { environment, leaseMs } = this.deps;
    while (this.isMember(term)) {
      if (this.lease === null && !(await this.join(term))) {
        await sleep(environment, RETRY_MS * (1 + environment.random()));
        continue;
      }
      await sleep(environment, leaseMs / RENEWALS_PER_LEASE);
      if (this.isMember(term)) await this.renew();
    }
  }

  /** Ends the lease, and with it whatever is attached to it. */
  async leave(): Promise<void> {
    if (this.state !== 'in') return;
    this.state = 'leaving';
    const { lease } = this;
    this.validUntil = -Infinity;
    this.lease = null;
    if (lease !== null) await this.deps.store.revokeLease(lease);
    this.state = 'out';
  }

  /** Not for a loop of an earlier term that has slept while this process left and joined again. */
  private isMember(term: number): boolean {
    return this.state === 'in' && this.term === term;
  }

  private async join(term: number): Promise<boolean> {
    const { environment, store, self, process, leaseMs, duties } = this.deps;
    const sent = environment.clock.now();
    const lease = await store.grantLease(leaseMs);
    if (lease === null) return false;
    const result = await store.compareAndSwap(
      [],
      [{ put: memberKey(self), value: { process, duties: [...duties] }, lease }],
    );
    if (result.kind === 'committed' && this.isMember(term)) {
      this.lease = lease;
      this.setValid(sent);
      return true;
    }
    await store.revokeLease(lease);
    return false;
  }

  /** Counted by our own clock from when the request was sent, drift taken off. */
  private setValid(sent: number): void {
    this.validUntil = Math.max(this.validUntil, sent + this.deps.leaseMs / DRIFT - MARGIN_MS);
  }

  private async renew(): Promise<void> {
    const { environment, store, leaseMs } = this.deps;
    const { lease } = this;
    if (lease === null) return;
    const sent = environment.clock.now();
    const result = await store.renewLease(lease, leaseMs, leaseMs / RENEWALS_PER_LEASE);
    if (this.lease !== lease) return;
    if (result === 'renewed') this.setValid(sent);
    if (result !== 'expired') return;
    this.lease = null;
    this.validUntil = -Infinity;
  }
}
