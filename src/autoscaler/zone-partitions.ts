/** Detects zones that are partitioned from this controller. */
import type { Machine } from '../workers/machine.js';
import type { MachineLiveness } from './machine-liveness.js';

/** A zone with fewer machines than this never counts as partitioned. */
const MIN_MACHINES_PER_ZONE = 4;
/**
 * A zone counts as partitioned if more than this share of its machines is suspected, and more than this share of the
 * machines in the zones without such a majority is not suspected.
 */
const ZONE_MAJORITY_SHARE = 0.7;
const QUARANTINE_MS = 45_000;

interface ZoneCounts {
  machines: number;
  suspected: number;
}

/** Records which zones are partitioned, and which were until recently. */
export class ZonePartitions {
  private partitioned = new Set<string>();
  /** Time until which machines requested in a zone would probably not reach this controller, by zone. */
  private readonly quarantinedUntil = new Map<string, number>();

  constructor(private readonly liveness: MachineLiveness) {}

  /** Whether the zone was partitioned at the last `update`. */
  isPartitioned(zone: string): boolean {
    return this.partitioned.has(zone);
  }

  /** Whether the zone is partitioned, or was so recently that no machines should be requested there. */
  isQuarantined(zone: string, now: number): boolean {
    return now < (this.quarantinedUntil.get(zone) ?? 0);
  }

  /** Number of partitioned zones. */
  count(): number {
    return this.partitioned.size;
  }

  /** Redetermines which zones of these machines are partitioned. */
  update(machines: readonly Machine[], now: number): void {
    const partitioned = this.findPartitioned(machines, now);
    // When a partition has healed, the heartbeats of the zone's machines don't all arrive at once: the machines whose
    // heartbeat has not arrived yet get the time for one.
    for (const machine of machines)
      if (
        this.partitioned.has(machine.zone) &&
        !partitioned.has(machine.zone) &&
        !machine.leaseExpired
      )
        machine.lastHeardAt = Math.max(machine.lastHeardAt, now);
    this.partitioned = partitioned;
    for (const zone of partitioned) this.quarantinedUntil.set(zone, now + QUARANTINE_MS);
  }

  /**
   * Returns the zones in which most machines are suspected, provided that most machines elsewhere are not. Otherwise
   * this controller itself is isolated, and no zone counts as partitioned.
   */
  private findPartitioned(machines: readonly Machine[], now: number): Set<string> {
    const candidates = new Set<string>();
    const elsewhere: ZoneCounts = { machines: 0, suspected: 0 };
    for (const [zone, counts] of this.countByZone(machines, now)) {
      if (isMostlySuspected(counts)) {
        candidates.add(zone);
        continue;
      }
      elsewhere.machines += counts.machines;
      elsewhere.suspected += counts.suspected;
    }
    const notSuspected = elsewhere.machines - elsewhere.suspected;
    const canJudge =
      notSuspected > ZONE_MAJORITY_SHARE * elsewhere.machines &&
      notSuspected >= MIN_MACHINES_PER_ZONE;
    return canJudge ? candidates : new Set();
  }

  private countByZone(machines: readonly Machine[], now: number): Map<string, ZoneCounts> {
    const zones = new Map<string, ZoneCounts>();
    for (const machine of machines) {
      const counts = zones.get(machine.zone) ?? { machines: 0, suspected: 0 };
      counts.machines++;
      if (this.liveness.isSuspected(machine, now)) counts.suspected++;
      zones.set(machine.zone, counts);
    }
    return zones;
  }
}

function isMostlySuspected({ machines, suspected }: ZoneCounts): boolean {
  return machines >= MIN_MACHINES_PER_ZONE && suspected > ZONE_MAJORITY_SHARE * machines;
}
