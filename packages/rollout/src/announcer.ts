/**
 * Registers this process as the latest incarnation of its controller, and keeps its announcement stored. The
 * announcement states the build of the process and the last change of the feature level that the process has applied.
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

/** Dependencies of the announcer on the participant. */
export interface AnnouncerDependencies {
  environment: Environment;
  store: StateAccess;
  /** Name of this controller. */
  self: string;
  /** Id that distinguishes this process from all other processes of this controller. */
  process: string;
  build: Build;
  /** Duration of the announcement's lease in milliseconds, for which the announcement can outlive its process. */
  leaseMs: number;
  /** Returns the level to acknowledge; null while it is not known. */
  level(): ClusterLevel | null;
  /** Called once, when a newer process of the same controller is found to have registered. */
  onReplaced(): void;
}

/**
 * The result of an attempt to register.
 *
 * - `registered`: this process is the latest incarnation.
 * - `unregistered`: no process of this controller has ever registered, and `onlyIfEverRegistered` was set.
 * - `failed`: the result is unknown or the attempt failed; it has to be repeated.
 */
export type Registration = 'registered' | 'unregistered' | 'failed';

const RENEWALS_PER_LEASE = 3;
/**
 * Longest sleep of the renewal loop, 1800 ms: a level change that needs an acknowledgement is noticed within this time.
 */
const MAX_SLEEP_MS = 2 * MIN_PAUSE_MS * RENEWALS_PER_LEASE;

const NEVER_REGISTERED: Incarnation = { incarnation: 0, process: '' };

/** Keeps the announcement of one process up to date. Writes nothing once this process is replaced. */
export class Announcer {
  private incarnation = 0;
  private incarnationVersion = 0;
  private leaseId: number | null = null;
  private announcementVersion = 0;
  /** Number of the level change that the stored announcement acknowledges; -1 before the first acknowledgement. */
  private acknowledgedChange = -1;
  private replaced = false;
  private isAnnouncing = false;

  constructor(private readonly deps: AnnouncerDependencies) {}

  /** Whether a newer process of the same controller has registered. */
  isReplaced(): boolean {
    return this.replaced;
  }

  /**
   * Makes one attempt to register. The incarnation and the first announcement are written in one transaction, with the
   * previous incarnation as precondition. From then on, delayed writes of an earlier process of this controller fail,
   * however late they arrive. With `onlyIfEverRegistered`, a controller that has never registered remains unregistered.
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

  /**
   * Renews the announcement's lease until this process is replaced. Rewrites the announcement if its lease has expired
   * or if it is out of date.
   */
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

  /** Must be called after each change of the level. Acknowledges the change immediately if that is needed. */
  announceIfNeeded(): void {
    if (this.needsToAcknowledge()) void this.announce();
  }

  private isOutOfDate(): boolean {
    return this.needsToAcknowledge() || this.leaseId === null;
  }

  /** Whether the current level change still has to be acknowledged. A stable level needs no acknowledgement. */
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

  /** After a conflict or a lost response, reads what is stored and whether this process was replaced. */
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

/** Returns the stored incarnation, or `NEVER_REGISTERED` if there is none or it can't be read. */
function lastIncarnation(read: ReadResult): Incarnation {
  if (read.kind !== 'found') return NEVER_REGISTERED;
  const parsed = parseIncarnation(read.entry.value);
  return parsed.kind === 'valid' ? parsed.value : NEVER_REGISTERED;
}
