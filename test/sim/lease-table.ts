/** The leases that the simulated state service has granted. */
import type { VirtualClock } from './clock.js';

interface Lease {
  ttlMs: number;
  expiresAt: number;
}

/** Leases by id, with expiry by the virtual clock; expired ones stay until the state service revokes them. */
export class LeaseTable {
  private readonly leases = new Map<number, Lease>();
  private nextId = 1;

  constructor(private readonly clock: VirtualClock) {}

  grant(ttlMs: number): number {
    const id = this.nextId++;
    this.leases.set(id, { ttlMs, expiresAt: this.clock.time + ttlMs });
    return id;
  }

  has(id: number): boolean {
    return this.leases.has(id);
  }

  renew(id: number): void {
    const lease = this.leases.get(id);
    if (lease) lease.expiresAt = this.clock.time + lease.ttlMs;
  }

  /** Renews all leases, so that none expires right after an outage. */
  renewAll(): void {
    for (const id of this.leases.keys()) this.renew(id);
  }

  revoke(id: number): void {
    this.leases.delete(id);
  }

  expired(): number[] {
    const isExpired = ([, { expiresAt }]: [number, Lease]): boolean => expiresAt <= this.clock.time;
    return [...this.leases].filter(isExpired).map(([id]) => id);
  }
}
