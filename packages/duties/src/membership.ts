/**
 * The membership of a controller process that takes part in the duties. Each membership has one lease, to which the
 * member record and the records of the duties that the process holds are attached.
 */
import { type Environment, type StateAccess, sleep } from '@millring/state-access';
import type { Duty } from './duty.js';
import { memberKey } from './records.js';

/** Dependencies of `Membership`: components of the process and values of the settings. */
export interface MembershipDependencies {
  environment: Environment;
  store: StateAccess;
  /** Name of this controller. */
  self: string;
  /** Id that distinguishes this process from all others of this controller. */
  process: string;
  leaseMs: number;
  /** The duties that this process may hold. */
  duties: readonly Duty[];
}

/** Monotonic clocks of different machines drift apart by at most this factor. */
const MAX_CLOCK_DRIFT = 1.001;
/** Allowance for the time between reading the clock and acting on the result. */
const VALIDITY_MARGIN_MS = 20;
const RENEWALS_PER_LEASE = 4;
const RETRY_MS = 200;

type MembershipState = 'out' | 'member' | 'leaving';

/** Maintains the process's lease and member record, and determines until when the lease is guaranteed to be valid. */
export class Membership {
  private leaseId: number | null = null;
  /** Time by the monotonic clock until which the lease is guaranteed to be valid. */
  private validUntil = -Infinity;
  private state: MembershipState = 'out';
  /** Number of times that this process has joined. */
  private joinCount = 0;

  constructor(private readonly deps: MembershipDependencies) {}

  /** Whether the lease is guaranteed to be valid now, by this process's own clock. */
  isValid(): boolean {
    return this.leaseId !== null && this.deps.environment.clock.now() < this.validUntil;
  }

  /** Id of the current lease; null between leases. A duty attached to any other lease is no longer held. */
  currentLease(): number | null {
    return this.leaseId;
  }

  /** Whether this process is a member: from the call of `run` until `leave` has completed. */
  isMember(): boolean {
    return this.state !== 'out';
  }

  /** Obtains a lease and renews it, and obtains a new one if it expires, until `leave` is called. */
  async run(): Promise<void> {
    if (this.state !== 'out') return;
    this.state = 'member';
    const joinNumber = ++this.joinCount;
    const { environment, leaseMs } = this.deps;
    while (this.isCurrentJoin(joinNumber)) {
      if (this.leaseId === null && !(await this.join(joinNumber))) {
        await sleep(environment, RETRY_MS * (1 + environment.random()));
        continue;
      }
      await sleep(environment, leaseMs / RENEWALS_PER_LEASE);
      if (this.isCurrentJoin(joinNumber)) await this.renew();
    }
  }

  /** Revokes the lease, which removes all records attached to it. */
  async leave(): Promise<void> {
    if (this.state !== 'member') return;
    this.state = 'leaving';
    const { leaseId } = this;
    this.forgetLease();
    if (leaseId !== null) await this.deps.store.revokeLease(leaseId);
    this.state = 'out';
  }

  /** Returns false to the loop of an earlier membership that slept while this process left and joined again. */
  private isCurrentJoin(joinNumber: number): boolean {
    return this.state === 'member' && this.joinCount === joinNumber;
  }

  private async join(joinNumber: number): Promise<boolean> {
    const { environment, store, self, process, leaseMs, duties } = this.deps;
    const sentAt = environment.clock.now();
    const leaseId = await store.grantLease(leaseMs);
    if (leaseId === null) return false;
    const result = await store.compareAndSwap(
      [],
      [{ put: memberKey(self), value: { process, duties: [...duties] }, lease: leaseId }],
    );
    if (result.kind === 'committed' && this.isCurrentJoin(joinNumber)) {
      this.leaseId = leaseId;
      this.extendValidity(sentAt);
      return true;
    }
    await store.revokeLease(leaseId);
    return false;
  }

  /**
   * Extends the validity, which counts by this process's own clock from when the request was sent and is reduced by the
   * maximum clock drift and `VALIDITY_MARGIN_MS`.
   */
  private extendValidity(sentAt: number): void {
    const validForMs = this.deps.leaseMs / MAX_CLOCK_DRIFT - VALIDITY_MARGIN_MS;
    this.validUntil = Math.max(this.validUntil, sentAt + validForMs);
  }

  private async renew(): Promise<void> {
    const { environment, store, leaseMs } = this.deps;
    const { leaseId } = this;
    if (leaseId === null) return;
    const sentAt = environment.clock.now();
    const result = await store.renewLease(leaseId, leaseMs, leaseMs / RENEWALS_PER_LEASE);
    if (this.leaseId !== leaseId) return;
    if (result === 'renewed') this.extendValidity(sentAt);
    if (result === 'expired') this.forgetLease();
  }

  private forgetLease(): void {
    this.leaseId = null;
    this.validUntil = -Infinity;
  }
}
