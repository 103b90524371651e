/**
 * A controller process as a participant of the rollout: it registers its incarnation, announces its build, takes in
 * each change of the cluster level and confirms it, and tells whether it may serve.
 */
import { type FeatureMode, modeOf } from './cluster-level.js';
import { type Build, type FeatureRegistry, canRead, describeBuild } from './levels.js';
import {
  type Announcement,
  type ClusterLevel,
  INITIAL_LEVEL,
  LEVEL_KEY,
  announcementKey,
  incarnationKey,
  parseAnnouncement,
  parseClusterLevel,
  parseIncarnation,
} from './records.js';
import type { RolloutSettings } from './settings.js';
import {
  type Environment,
  type Precondition,
  type StateAccess,
  type WatchEvent,
  sleep,
} from '@millring/state-access';

export interface ParticipantDependencies {
  environment: Environment;
  store: StateAccess;
  self: string;
  /** Tells this process apart from all others of the same controller. */
  process: string;
  build: Build;
  registry: FeatureRegistry;
  settings: Pick<RolloutSettings, 'mode' | 'announcement_lease_s'>;
  /** Called whenever the answer of `mayServe` changes. */
  onServingChanged(mayServe: boolean): void;
}

/**
 * - `joining`: not registered yet, or the level is not known; nothing is served.
 * - `outside`: the rollout is off here and this controller has never taken part, so that no level can have been
 *   raised; everything is served at the base level.
 * - `serving`: registered, and the active level can be read.
 * - `excluded`: the active level can't be read, or a newer process of the same controller has registered.
 */
export type ParticipantState = 'joining' | 'outside' | 'serving' | 'excluded';

const NEXT: Record<ParticipantState, ParticipantState[]> = {
  joining: ['outside', 'serving', 'excluded'],
  outside: [],
  serving: ['excluded'],
  excluded: ['serving'],
};

interface KnownLevel {
  level: ClusterLevel;
  /** 0: no level is stored. */
  version: number;
}

const RETRY_MS = 300;
const WATCH_MS = 10_000;
const RENEWALS_PER_LEASE = 3;

export class RolloutParticipant {
  private state: ParticipantState = 'joining';
  private why = 'the cluster level is not known yet';
  private known: KnownLevel | null = null;
  private incarnation = 0;
  private incarnationVersion = 0;
  private lease: number | null = null;
  private announcementVersion = 0;
  private acknowledged = -1;
  private replaced = false;

  constructor(private readonly deps: ParticipantDependencies) {}

  mayServe(): boolean {
    return this.state === 'serving' || this.state === 'outside';
  }

  /** Why nothing is served, for `/healthz`. */
  reason(): string {
    return this.why;
  }

  level(): ClusterLevel | null {
    return this.known?.level ?? null;
  }

  /** How the feature stands here. An excluded process uses none. */
  mode(feature: string): FeatureMode {
    const registered = this.deps.registry.get(feature);
    if (this.state !== 'serving' || !this.known) return 'off';
    if (this.deps.build.writes < registered.level) return 'off';
    return modeOf(registered, this.known.level);
  }

  /**
   * For every write in the form of a feature: the write is void once the level has changed. Null if the feature is
   * not on, and then nothing may be written in its form.
   */
  writePrecondition(feature: string): Precondition | null {
    if (this.mode(feature) !== 'on' || !this.known) return null;
    return { key: LEVEL_KEY, version: this.known.version };
  }

  /** Resolves once the process has registered and knows the level, or takes no part. */
  async join(): Promise<void> {
    while (!(await this.register())) await this.pause();
    if (this.isOutside()) return;
    // Read after registering: from then on no change that rests on an earlier process of ours can be made.
    while (!(await this.readLevel())) await this.pause();
    void this.followLevel();
    void this.keepAnnounced();
  }

  /** The rollout is off and was never on here. */
  isOutside(): boolean {
    return this.state === 'outside';
  }

  private pause(): Promise<void> {
    return sleep(this.deps.environment, RETRY_MS * (1 + this.deps.environment.random()));
  }

  private transitionTo(next: ParticipantState, why: string): void {
    if (next === this.state) return;
    if (!NEXT[this.state].includes(next))
      throw new Error(`rollout participant: ${this.state} -> ${next}`);
    const served = this.mayServe();
    this.deps.environment.log.info({ from: this.state, to: next, why }, 'rollout');
    this.state = next;
    this.why = why;
    if (served !== this.mayServe()) this.deps.onServingChanged(this.mayServe());
  }

  /**
   * The incarnation and the first announcement are one transaction, guarded by the incarnation before: whatever an
   * earlier process of this controller has on its way is void from then on, however late it arrives.
   */
  private async register(): Promise<boolean> {
    const { store, self, process, settings } = this.deps;
    const read = await store.get(incarnationKey(self));
    if (read.kind === 'unavailable') return false;
    if (read.kind === 'absent' && settings.mode === 'off') {
      this.transitionTo('outside', 'the rollout is off');
      return true;
    }
    const stored = read.kind === 'found' ? parseIncarnation(read.entry.value) : null;
    const last = stored?.kind === 'valid' ? stored.value : { incarnation: 0, process: '' };
    const version = read.kind === 'found' ? read.entry.version : 0;
    if (last.process === process) return this.registered(last.incarnation, version);
    this.lease ??= await store.grantLease(this.leaseMs());
    if (this.lease === null) return false;
    const incarnation = last.incarnation + 1;
    const result = await store.compareAndSwap(
      [{ key: incarnationKey(self), version }],
      [
        { put: incarnationKey(self), value: { incarnation, process } },
        { put: announcementKey(self), value: this.announcement(incarnation, 0), lease: this.lease },
      ],
    );
    if (result.kind === 'invalid') this.lease = null;
    if (result.kind !== 'committed') return false;
    this.announcementVersion = result.revision;
    return this.registered(incarnation, result.revision);
  }

  private registered(incarnation: number, version: number): boolean {
    this.incarnation = incarnation;
    this.incarnationVersion = version;
    return true;
  }

  private announcement(incarnation: number, acknowledged: number): Announcement {
    const { self, process, build } = this.deps;
    return { controller: self, incarnation, process, build, acknowledged };
  }

  private leaseMs(): number {
    return this.deps.settings.announcement_lease_s * 1000;
  }

  private async readLevel(): Promise<boolean> {
    const read = await this.deps.store.get(LEVEL_KEY);
    if (read.kind === 'unavailable') return false;
    if (read.kind === 'found') this.applyRecord(read.entry.value, read.entry.version);
    // One that was there and has gone tells nothing of what is stored.
    else if (this.known && this.known.version > 0)
      this.exclude('the cluster level is gone from the state service');
    else this.applyLevel({ level: INITIAL_LEVEL, version: 0 });
    return true;
  }

  private applyRecord(value: unknown, version: number): void {
    if (this.known && version <= this.known.version) return;
    const read = parseClusterLevel(value);
    if (read.kind === 'valid') this.applyLevel({ level: read.value, version });
    else this.exclude(`the cluster level can't be read (${read.reason})`);
  }

  private applyLevel(known: KnownLevel): void {
    this.known = known;
    const { active, state, target } = known.level;
    if (this.replaced) return;
    if (canRead(this.deps.build, active)) {
      this.transitionTo(
        'serving',
        `cluster level ${active}, ${state}${target === null ? '' : ` -> ${target}`}`,
      );
      return;
    }
    this.exclude(`the cluster's level is ${active}, and this is ${describeBuild(this.deps.build)}`);
  }

  private exclude(why: string): void {
    this.why = why;
    this.transitionTo('excluded', why);
  }

  private async followLevel(): Promise<void> {
    const { store } = this.deps;
    while (!this.replaced) {
      const answer = await store.watch(LEVEL_KEY, this.known?.version ?? 0, WATCH_MS);
      if (answer.kind === 'unavailable') await this.pause();
      else if (answer.kind === 'compacted') await this.readLevel();
      else for (const event of answer.events) this.applyEvent(event);
    }
  }

  private applyEvent(event: WatchEvent): void {
    if (event.key !== LEVEL_KEY) return;
    if (event.deleted) this.exclude('the cluster level is gone from the state service');
    else this.applyRecord(event.value, event.version);
    if (this.needsToAcknowledge()) void this.announce();
  }

  /** A level that is stable needs nobody's confirmation. */
  private needsToAcknowledge(): boolean {
    const level = this.known?.level;
    return level !== undefined && level.state !== 'stable' && level.change !== this.acknowledged;
  }

  /** Renews the lease under the announcement; puts it there again if it has gone, or is behind. */
  private async keepAnnounced(): Promise<void> {
    const { environment } = this.deps;
    let lastRenewal = environment.clock.now();
    while (!this.replaced) {
      const dueInMs = lastRenewal + this.leaseMs() / RENEWALS_PER_LEASE - environment.clock.now();
      if (this.needsToAcknowledge() || this.lease === null) await this.announce();
      if (this.needsToAcknowledge() || this.lease === null) await this.pause();
      else if (dueInMs > 0)
        await sleep(environment, Math.min(dueInMs, 2 * RETRY_MS * RENEWALS_PER_LEASE));
      if (dueInMs > 0) continue;
      lastRenewal = environment.clock.now();
      await this.renew();
    }
  }

  private async renew(): Promise<void> {
    if (this.lease === null) return;
    const lease = this.lease;
    const timeoutMs = this.leaseMs() / RENEWALS_PER_LEASE;
    const result = await this.deps.store.renewLease(lease, this.leaseMs(), timeoutMs);
    if (result !== 'expired' || this.lease !== lease) return;
    this.lease = null;
    this.announcementVersion = 0;
  }

  private announcing = false;

  private async announce(): Promise<void> {
    if (this.announcing || this.replaced) return;
    this.announcing = true;
    await this.writeAnnouncement();
    this.announcing = false;
  }

  private async writeAnnouncement(): Promise<void> {
    const { store, self } = this.deps;
    this.lease ??= await store.grantLease(this.leaseMs());
    if (this.lease === null) return;
    const change = this.known?.level.change ?? 0;
    const guards = [
      { key: incarnationKey(self), version: this.incarnationVersion },
      { key: announcementKey(self), version: this.announcementVersion },
    ];
    const value = this.announcement(this.incarnation, change);
    const result = await store.compareAndSwap(guards, [
      { put: announcementKey(self), value, lease: this.lease },
    ]);
    if (result.kind === 'committed') {
      this.announcementVersion = result.revision;
      this.acknowledged = change;
    } else if (result.kind === 'invalid') {
      this.lease = null;
    } else if (result.kind !== 'rejected') {
      await this.refreshAnnouncement();
    }
  }

  /** After a conflict or a lost answer: what stands there, and whether this process was replaced. */
  private async refreshAnnouncement(): Promise<void> {
    const { store, self, process } = this.deps;
    const incarnation = await store.get(incarnationKey(self));
    if (incarnation.kind === 'found') {
      const read = parseIncarnation(incarnation.entry.value);
      if (
        read.kind === 'valid' &&
        read.value.process !== process &&
        read.value.incarnation > this.incarnation
      ) {
        this.replaced = true;
        this.exclude(`another process has registered as ${self}`);
        return;
      }
    }
    const announced = await store.get(announcementKey(self));
    if (announced.kind === 'absent') this.announcementVersion = 0;
    if (announced.kind !== 'found') return;
    this.announcementVersion = announced.entry.version;
    const read = parseAnnouncement(announced.entry.value);
    if (read.kind === 'valid' && read.value.process === process)
      this.acknowledged = read.value.acknowledged;
  }
}
