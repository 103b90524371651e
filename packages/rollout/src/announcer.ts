/**
 * Registers this process as the latest incarnation of its controller, and keeps its announcement stored: which build it
 * is, and which change of the cluster level it has taken over.
 */
import { type Environment, type ReadResult, type StateAccess, sleep } from '@millring/state-access';
import type { Build } from './levels.js';
import { MIN_PAUSE_MS, pause } from './pause.js';
import {
  type Announcement,
  type ClusterLevel,
  type Incarnation,
  announcementKey,
  incarnationKey,
  parseAnnouncement,
  parseIncarnation,
} from './records.js';

/** What announcing needs of the participant. */
export interface AnnouncerDependencies {
  environment: Environment;
  store: StateAccess;
  /** Name of this controller. */
  self: string;
  /** Tells this process apart from all others of the same controller. */
  process: string;
  build: Build;
  /** How long the announcement outlives its process. */
  leaseMs: number;
  /** The level to confirm; null while it is not known. */
  level(): ClusterLevel | null;
  /** A newer process of the same controller has registered. Called once. */
  onReplaced(): void;
}

/**
 * - `registered`: this process is the latest incarnation.
 * - `unregistered`: no process of this controller has ever registered, and none was to be.
 * - `failed`: nothing is known; to be tried again.
 */
export type Registration = 'registered' | 'unregistered' | 'failed';

const RENEWALS_PER_LEASE = 3;
/** Longest sleep of the loop: a change that needs a confirmation is noticed within it. */
const MAX_SLEEP_MS = 2 * MIN_PAUSE_MS * RENEWALS_PER_LEASE;

const NEVER_REGISTERED: Incarnation = { incarnation: 0, process: '' };

/** Writes nothing any more once this process was replaced. */
export class Announcer {
  private incarnation = 0;
  private incarnationVersion = 0;
  private leaseId: number | null = null;
  private announcementVersion = 0;
  /** The change of the level that the stored announcement confirms. */
  private acknowledgedChange = -1;
  private replaced = false;
  private isAnnouncing = false;

  constructor(private readonly deps: AnnouncerDependencies) {}

  /** A newer process of the same controller has registered. */
  isReplaced(): boolean {
    return this.replaced;
  }

  /**
   * Tries once to register. The incarnation and the first announcement are one transaction, on the precondition of the
   * incarnation before: whatever an earlier process of this controller has on its way fails from then on, however late it
   * arrives. With `onlyIfEverRegistered`, a controller that has never registered stays so.
   */
  async register(onlyIfEverRegistered: boolean): Promise<Registration> {
    const { store, self, process, leaseMs } = this.deps;
    const read = await store.get(incarnationKey(self));
    if (read.kind === 'unavailable') return 'failed';
    if (read.kind === 'absent' && onlyIfEverRegistered) return 'unregistered';
    const last = lastIncarnation(read);
    const version = read.kind === 'found' ? read.entry.version : 0;
    if (last.process === process) return this.registered(last.incarnation, version);
    this.leaseId ??= await store.grantLease(leaseMs);
    if (this.leaseId === null) return 'failed';
    const incarnation = last.incarnation + 1;
    const value = this.announcement(incarnation, 0);
    const result = await store.compareAndSwap(
      [{ key: incarnationKey(self), version }],
      [
        { put: incarnationKey(self), value: { incarnation, process } },
        { put: announcementKey(self), value, lease: this.leaseId },
      ],
    );
    if (result.kind === 'invalid') this.leaseId = null;
    if (result.kind !== 'committed') return 'failed';
    this.announcementVersion = result.revision;
    return this.registered(incarnation, result.revision);
  }

  private registered(incarnation: number, version: number): Registration {
    this.incarnation = incarnation;
    this.incarnationVersion = version;
    return 'registered';
  }

  private announcement(incarnation: number, acknowledged: number): Announcement {
    const { self, process, build } = this.deps;
    return { controller: self, incarnation, process, build, acknowledged };
  }

  /** Renews the announcement's lease, and stores the announcement again if it is gone or out of date. */
  async run(): Promise<void> {
    const { environment, leaseMs } = this.deps;
    let lastRenewalAt = environment.clock.now();
    while (!this.replaced) {
      const dueInMs = lastRenewalAt + leaseMs / RENEWALS_PER_LEASE - environment.clock.now();
      if (this.isOutOfDate()) await this.announce();
      if (this.isOutOfDate()) await pause(environment);
      else if (dueInMs > 0) await sleep(environment, Math.min(dueInMs, MAX_SLEEP_MS));
      if (dueInMs > 0) continue;
      lastRenewalAt = environment.clock.now();
      await this.renew();
    }
  }

  /** To be called when the level has changed: confirms the change at once if it has to be. */
  announceIfNeeded(): void {
    if (this.needsToAcknowledge()) void this.announce();
  }

  private isOutOfDate(): boolean {
    return this.needsToAcknowledge() || this.leaseId === null;
  }

  /** A level that is stable needs nobody's confirmation. */
  private needsToAcknowledge(): boolean {
    const level = this.deps.level();
    return level !== null && level.state !== 'stable' && level.change !== this.acknowledgedChange;
  }

  private async renew(): Promise<void> {
    if (this.leaseId === null) return;
    const { store, leaseMs } = this.deps;
    const { leaseId } = this;
    const result = await store.renewLease(leaseId, leaseMs, leaseMs / RENEWALS_PER_LEASE);
    if (result !== 'expired' || this.leaseId !== leaseId) return;
    this.leaseId = null;
    this.announcementVersion = 0;
  }

  private async announce(): Promise<void> {
    if (this.isAnnouncing || this.replaced) return;
    this.isAnnouncing = true;
    await this.writeAnnouncement();
    this.isAnnouncing = false;
  }

  private async writeAnnouncement(): Promise<void> {
    const { store, self, leaseMs } = this.deps;
    this.leaseId ??= await store.grantLease(leaseMs);
    if (this.leaseId === null) return;
    const change = this.deps.level()?.change ?? 0;
    const preconditions = [
      { key: incarnationKey(self), version: this.incarnationVersion },
      { key: announcementKey(self), version: this.announcementVersion },
    ];
    const value = this.announcement(this.incarnation, change);
    const result = await store.compareAndSwap(preconditions, [
      { put: announcementKey(self), value, lease: this.leaseId },
    ]);
    if (result.kind === 'committed') {
      this.announcementVersion = result.revision;
      this.acknowledgedChange = change;
    } else if (result.kind === 'invalid') {
      this.leaseId = null;
    } else if (result.kind !== 'rejected') {
      await this.resolveConflict();
    }
  }

  /** After a conflict or a lost response: finds out what is stored, and whether this process was replaced. */
  private async resolveConflict(): Promise<void> {
    const { store, self, process } = this.deps;
    if (this.isNewerThanSelf(await store.get(incarnationKey(self)))) {
      this.replaced = true;
      this.deps.onReplaced();
      return;
    }
    const read = await store.get(announcementKey(self));
    if (read.kind === 'absent') this.announcementVersion = 0;
    if (read.kind !== 'found') return;
    this.announcementVersion = read.entry.version;
    const parsed = parseAnnouncement(read.entry.value);
    if (parsed.kind === 'valid' && parsed.value.process === process)
      this.acknowledgedChange = parsed.value.acknowledged;
  }

  private isNewerThanSelf(read: ReadResult): boolean {
    const { incarnation, process } = lastIncarnation(read);
    return process !== this.deps.process && incarnation > this.incarnation;
  }
}

/** One that can't be read counts as none. */
function lastIncarnation(read: ReadResult): Incarnation {
  if (read.kind !== 'found') return NEVER_REGISTERED;
  const parsed = parseIncarnation(read.entry.value);
  return parsed.kind === 'valid' ? parsed.value : NEVER_REGISTERED;
}
