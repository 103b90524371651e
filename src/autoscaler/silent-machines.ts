/**
 * Which machines are silent, which zones are cut off, and which machines are given up: their deletion is the quick
 * proof that nothing runs on them.
 */
import type { OperatorSettings } from '../settings/operator.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';

const TAKEOVER_MS = 2000;
/**
 * Reports are a quarter late at most. One that is later is asked for; unasked and unanswered for the longer time,
 * the machine counts as silent.
 */
const OVERDUE_REPORTS = 1.27;
const OVERDUE_MS = 200;
const MUTE_REPORTS = 1.6;
/** A zone with fewer machines than this is not judged as a whole. */
const LOST_LEAST = 4;
/** Of so many machines some report every moment: when none does, it is we who are cut off, and silence proves nothing. */
const MANY = 30;
const NOBODY_MS = 1500;
const SHUN_MS = 45_000;
const LOST_LEASE = 0.8;
/** Nobody waits for a zone for longer than this. */
const LOST_FOR_GOOD_MS = 120_000;
/** Shares of machines that make a judgement of a whole: silent in a lost zone, heard elsewhere, answering a takeover. */
const LOST_SHARE = 0.7;
const NEARLY_ALL = 0.85;
/** More silent ordinary machines than this share, and this number, in several zones: it is we who are cut off. */
const CUT_OFF_SHARE = 0.3;
const CUT_OFF_LEAST = 2;
/** In a large fleet more machines may be given up in a round. */
const DELETIONS_SHARE = 0.12;
const PATIENCE_SLACK_MS = 500;
/** Requests without an answer after which a machine counts as holding up a takeover; and while we are behind. */
const UNANSWERED = 2;
const UNANSWERED_WHILE_BEHIND = 3;

export interface SilenceDependencies {
  table: MachineTable;
  operator: OperatorSettings;
  saveMoney: boolean;
  reportS: number;
  leaseS: number;
  /** All zones that machines can be rented in. */
  zones: Set<string>;
  /** Zones that seem cut off from us: silence there proves nothing. */
  cutZones(): Set<string>;
  /** Until when leases may be kept in a zone that is cut off, by the controllers in it; null if it has none. */
  keptUntil(zone: string): number | null;
  /** This controller is behind its own timers: what seems silent may just wait unread. */
  behind(): boolean;
}

/** What one look at all machines tells of each. */
interface Look {
  now: number;
  behind: boolean;
  cutOff: boolean;
  nearlyAll: boolean;
  cutZones: Set<string>;
  /** How many machines may still be given up in this round. */
  room: number;
}

export class SilenceDetector {
  /** Zones that are cut off, as judged last. */
  private lost = new Set<string>();
  /** Zones that were lost a while ago: machines rented there would not reach us either. */
  private readonly shunned = new Map<string, number>();
  private deletions: number[] = [];

  constructor(
    private readonly deps: SilenceDependencies,
    private readonly tookOverAt: number,
  ) {}

  isLost(zone: string): boolean {
    return this.lost.has(zone);
  }

  isShunned(zone: string, now: number): boolean {
    return now < (this.shunned.get(zone) ?? 0);
  }

  private bound(now: number): number {
    const perRound = Math.max(
      this.deps.operator.deletions_per_round,
      Math.ceil(this.deps.table.size() * DELETIONS_SHARE),
    );
    this.deletions = this.deletions.filter((t) => now - t < this.deps.operator.round_s * 1000);
    return perRound - this.deletions.length;
  }

  private patienceMs(): number {
    return this.deps.operator.silent_reports * this.deps.reportS * 1000 + PATIENCE_SLACK_MS;
  }

  /** Its report is overdue: it is asked, since that tells sooner than the next reports that do not come. */
  isOverdue(m: Machine, now: number): boolean {
    return (
      (m.reported || m.stored) &&
      now - m.lastHeardAt > OVERDUE_REPORTS * this.deps.reportS * 1000 + OVERDUE_MS
    );
  }

  /** It says nothing, or it hears nothing: neither can be given work, and only its deletion proves anything. */
  isSilent(m: Machine, now: number): boolean {
    if (m.leaseExpired) return true;
    if (!m.reported && !m.stored) return false;
    const quiet = now - m.lastHeardAt;
    const unanswered =
      m.commandFailures >= 2 &&
      this.isOverdue(m, now) &&
      quiet > MUTE_REPORTS * this.deps.reportS * 1000;
    return unanswered || quiet > this.patienceMs() || m.isNotAcknowledging(this.patienceMs(), now);
  }

  /**
   * After a takeover all old jobs wait for the last machine to speak. Where nearly all have answered our probes,
   * one that has not is likely dead or deaf: it is not given the time that a silent machine has otherwise. While
   * we are behind it takes more unanswered probes to say so, since answers may wait unread. A lost zone whose
   * machines nobody can keep alive is not waited for either: all other zones' old jobs would stand still.
   */
  private holdsUpTakeover(m: Machine, { nearlyAll, behind, now }: Look): boolean {
    const failures = behind ? UNANSWERED_WHILE_BEHIND : UNANSWERED;
    if (!m.awaitingReconciliation || m.isReconciled() || m.commandFailures < failures || !nearlyAll)
      return false;
    return now - this.tookOverAt > (this.lost.has(m.zone) ? 2 * TAKEOVER_MS : TAKEOVER_MS);
  }

  /**
   * A zone that is cut off comes back, and then its machines are worth more than new ones: they are up, hold the
   * images, and may be the only place for replicas that have to be spread. So they are left alone, and the end of
   * their leases is the proof. Only shortly before these end is a deletion quicker, for replicas that can then run
   * elsewhere at once; and in a takeover that waits for nothing else, unless somebody may keep them.
   */
  private givesUpLost(m: Machine, holdsUp: boolean, quiet: number, now: number): boolean {
    // What it held runs elsewhere by now: while it is paid for, it is only worth keeping for what it holds.
    if (quiet > LOST_FOR_GOOD_MS || (this.deps.saveMoney && m.leaseExpired)) return true;
    const most = this.deps.leaseS * 1000 * LOST_LEASE;
    const kept = this.deps.keptUntil(m.zone);
    if (kept === null) return holdsUp || (m.serviceTasks > 0 && quiet > most);
    // Spread replicas need two zones beside the lost one, or they would find no place elsewhere.
    const zones = this.deps.zones;
    return (
      (m.serviceTasks > 0 || m.awaitingReconciliation) &&
      zones.size - this.lost.size >= 2 &&
      now > kept + most
    );
  }

  /** Sooner than silent: a zone must be judged as a whole before the first of its machines is given up by itself. */
  private isUnheard(m: Machine, now: number): boolean {
    return (
      m.leaseExpired ||
      this.isOverdue(m, now) ||
      (m.awaitingReconciliation && !m.isReconciled() && m.commandFailures > 0)
    );
  }

  /** Zones where nearly every machine is unheard while the other zones are heard: the zone is cut off, not we. */
  private lostZones(up: Machine[], now: number): Set<string> {
    const zones = new Map<string, { all: number; silent: number }>();
    for (const m of up) {
      const z = zones.get(m.zone) ?? { all: 0, silent: 0 };
      z.all++;
      if (this.isUnheard(m, now)) z.silent++;
      zones.set(m.zone, z);
    }
    const mostly = [...zones].filter(
      ([, z]) => z.all >= LOST_LEAST && z.silent > LOST_SHARE * z.all,
    );
    const others = [...zones].filter(([name]) => !mostly.some(([n]) => n === name));
    const [heard, all] = others.reduce(
      ([h, a], [, z]) => [h + z.all - z.silent, a + z.all],
      [0, 0],
    );
    return new Set(
      heard > LOST_SHARE * all && heard >= LOST_LEAST ? mostly.map(([name]) => name) : [],
    );
  }

  /** Judges the zones, and tells which of the machines that were up are given up now. */
  deadMachines(now: number): Machine[] {
    const up = [...this.deps.table.all()].filter((m) => m.reported || m.stored || m.leaseExpired);
    this.updateLostZones(up, now);
    const look = this.look(up, now);
    const dead = up.filter((machine) => !machine.deleting && this.isDead(machine, look));
    for (const machine of up) {
      if (machine.drainReason !== 'faulty' || machine.deleting || this.bound(now) <= 0) continue;
      this.deletions.push(now);
      dead.push(machine);
    }
    return dead;
  }

  private updateLostZones(up: Machine[], now: number): void {
    const lost = this.lostZones(up, now);
    // A zone that is back is not heard all at once: those that have not spoken yet get the time for a report.
    for (const m of up)
      if (this.lost.has(m.zone) && !lost.has(m.zone) && !m.leaseExpired)
        m.lastHeardAt = Math.max(m.lastHeardAt, now);
    this.lost = lost;
    for (const zone of lost) this.shunned.set(zone, now + SHUN_MS);
  }

  private look(up: Machine[], now: number): Look {
    const elsewhere = up.filter((m) => !this.lost.has(m.zone));
    return {
      now,
      behind: this.deps.behind(),
      cutOff: this.seemsCutOff(up, elsewhere, now),
      nearlyAll: elsewhere.filter((m) => m.isReconciled()).length > NEARLY_ALL * elsewhere.length,
      cutZones: this.deps.cutZones(),
      room: this.bound(now),
    };
  }

  /** Many silent ordinary machines at once, in several zones, are a sign that it is we who are cut off. */
  private seemsCutOff(up: Machine[], elsewhere: Machine[], now: number): boolean {
    const lastHeard = up.reduce((t, m) => Math.max(t, m.lastHeardAt), -Infinity);
    if (up.length >= MANY && now - lastHeard > NOBODY_MS) return true;
    const ordinary = elsewhere.filter((m) => !m.spot);
    const silent = ordinary.filter((m) => this.isSilent(m, now)).length;
    return silent > Math.max(CUT_OFF_LEAST, ordinary.length * CUT_OFF_SHARE);
  }

  private isSurelySilent(m: Machine, quiet: number, { now, behind }: Look): boolean {
    const patience = this.patienceMs() * (behind ? 2 : 1);
    return this.isSilent(m, now) && (!(behind || m.leaseExpired) || quiet > patience);
  }

  private isDead(m: Machine, look: Look): boolean {
    const { now } = look;
    // Taken by the cloud, most likely. Its deletion proves it, and can't hit a machine that lives.
    if (m.unlisted && this.isOverdue(m, now)) return true;
    const noticed = m.preemptionDeadline !== null && now > m.preemptionDeadline;
    const holdsUp = this.holdsUpTakeover(m, look);
    const quiet = now - m.lastHeardAt;
    if (!holdsUp && !this.isSurelySilent(m, quiet, look)) return false;
    if (this.lost.has(m.zone) && !noticed) return this.givesUpLost(m, holdsUp, quiet, now);
    if (noticed) return true;
    if (look.cutOff || look.cutZones.has(m.zone) || look.room-- <= 0) return false;
    this.deletions.push(now);
    return true;
  }
}
