/**
 * Decides which machines are declared dead. Their deletion by the cloud is the quick proof that nothing runs on them,
 * so their tasks can start elsewhere before the machines' leases expire.
 */
import type { OperatorSettings } from '../settings/operator.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import { DeletionBudget } from './deletion-budget.js';
import type { MachineLiveness } from './machine-liveness.js';
import type { ZonePartitions } from './zone-partitions.js';

/** How long after a failover machines have to answer before they count as holding it up. */
const RECONCILIATION_GRACE_MS = 2000;
/** Of the machines in reachable zones: so many must have answered after a failover before the others may be declared dead. */
const RECONCILED_SHARE_THRESHOLD = 0.85;
/** Failed probes after which a machine counts as holding up a failover. */
const MIN_FAILED_PROBES = 2;
const MIN_FAILED_PROBES_WHILE_LAGGING = 3;
/** Of so many machines some are heard at any moment: when none is, this controller is cut off itself. */
const MIN_MACHINES_FOR_TOTAL_SILENCE = 30;
const TOTAL_SILENCE_MS = 1500;
/** More unreachable ordinary machines in reachable zones than both of these: this controller is cut off itself. */
const OWN_PARTITION_UNREACHABLE_SHARE = 0.3;
const OWN_PARTITION_UNREACHABLE_COUNT = 2;
/** Of its lease: after this much of it a machine in a partitioned zone may be deleted for the sake of its replicas. */
const PARTITIONED_LEASE_SHARE = 0.8;
/** A partition is not waited out for longer than this. */
const MAX_PARTITION_MS = 120_000;
/** Spread replicas need so many reachable zones to find a place. */
const MIN_REACHABLE_ZONES = 2;

/** What the failure detector needs of the leader and of its settings. */
export interface FailureDetectorDependencies {
  table: MachineTable;
  operator: OperatorSettings;
  saveMoney: boolean;
  /** Lease of a worker, in seconds. */
  leaseS: number;
  /** All zones that machines can be requested in. */
  zones: Set<string>;
  /** Zones that seem partitioned from this controller by what other controllers say: silence there proves nothing. */
  partitionedZones(): Set<string>;
  /** Until when the controllers in a partitioned zone may extend leases there; null if it has no controller. */
  leasesExtendableUntil(zone: string): number | null;
  /** This controller's event loop lags: what seems silent may have messages that wait unread. */
  isLagging(): boolean;
}

/** What holds for all machines in one round of judgement. */
interface Round {
  now: number;
  isLagging: boolean;
  isSelfPartitioned: boolean;
  isNearlyReconciled: boolean;
  partitionedZones: Set<string>;
}

/** Only the leader has one. */
export class FailureDetector {
  private readonly budget: DeletionBudget;

  /** `startedAt`: when the leader's term began. */
  constructor(
    private readonly deps: FailureDetectorDependencies,
    private readonly liveness: MachineLiveness,
    private readonly zones: ZonePartitions,
    private readonly startedAt: number,
  ) {
    const { table, operator } = deps;
    this.budget = new DeletionBudget(
      () => table.size(),
      operator.deletions_per_round,
      operator.round_s * 1000,
    );
  }

  /** Judges the zones, and returns the machines that are to be deleted now since they are dead or faulty. */
  declareDeadMachines(now: number): Machine[] {
    const machines = [...this.deps.table.all()].filter(
      (machine) => machine.reported || machine.stored || machine.leaseExpired,
    );
    this.zones.update(machines, now);
    this.budget.expire(now);
    const round = this.startRound(machines, now);
    const dead = machines.filter((machine) => !machine.deleting && this.isDead(machine, round));
    for (const machine of machines)
      if (machine.drainReason === 'faulty' && !machine.deleting && this.budget.tryAcquire(now))
        dead.push(machine);
    return dead;
  }

  private startRound(machines: readonly Machine[], now: number): Round {
    const reachable = machines.filter((machine) => !this.zones.isPartitioned(machine.zone));
    const reconciled = reachable.filter((machine) => machine.isReconciled()).length;
    return {
      now,
      isLagging: this.deps.isLagging(),
      isSelfPartitioned: this.isSelfPartitioned(machines, reachable, now),
      isNearlyReconciled: reconciled > RECONCILED_SHARE_THRESHOLD * reachable.length,
      partitionedZones: this.deps.partitionedZones(),
    };
  }

  /** Many ordinary machines that become unreachable at once, in several zones, mean that this controller is cut off. */
  private isSelfPartitioned(
    machines: readonly Machine[],
    reachable: readonly Machine[],
    now: number,
  ): boolean {
    const lastHeardAt = machines.reduce(
      (latest, machine) => Math.max(latest, machine.lastHeardAt),
      -Infinity,
    );
    if (machines.length >= MIN_MACHINES_FOR_TOTAL_SILENCE && now - lastHeardAt > TOTAL_SILENCE_MS)
      return true;
    const ordinary = reachable.filter((machine) => !machine.spot);
    const unreachable = ordinary.filter((machine) => this.liveness.isUnreachable(machine, now));
    return (
      unreachable.length >
      Math.max(OWN_PARTITION_UNREACHABLE_COUNT, ordinary.length * OWN_PARTITION_UNREACHABLE_SHARE)
    );
  }

  private isDead(machine: Machine, round: Round): boolean {
    const { now } = round;
    // Most likely taken by the cloud. Its deletion proves that, and can't hit a machine that lives.
    if (machine.unlisted && this.liveness.isHeartbeatOverdue(machine, now)) return true;
    const isPreempted = machine.preemptionDeadline !== null && now > machine.preemptionDeadline;
    const holdsUpTakeover = this.holdsUpTakeover(machine, round);
    if (!holdsUpTakeover && !this.isSurelyUnreachable(machine, round)) return false;
    if (isPreempted) return true;
    if (this.zones.isPartitioned(machine.zone))
      return this.isDeadInPartitionedZone(machine, holdsUpTakeover, now);
    if (round.isSelfPartitioned || round.partitionedZones.has(machine.zone)) return false;
    return this.budget.tryAcquire(now);
  }

  /**
   * After a failover all jobs of former leaders wait for the last machine to answer. Where nearly all have answered, one
   * that has not is likely dead, and is not given the time that an unreachable machine has otherwise. While we lag it
   * takes more failed probes, since answers may wait unread. Nor do all zones wait for a partitioned one whose leases
   * nobody can extend.
   */
  private holdsUpTakeover(machine: Machine, round: Round): boolean {
    const minFailures = round.isLagging ? MIN_FAILED_PROBES_WHILE_LAGGING : MIN_FAILED_PROBES;
    if (!machine.awaitingReconciliation || machine.isReconciled()) return false;
    if (machine.commandFailures < minFailures || !round.isNearlyReconciled) return false;
    const graceMs = this.zones.isPartitioned(machine.zone)
      ? 2 * RECONCILIATION_GRACE_MS
      : RECONCILIATION_GRACE_MS;
    return round.now - this.startedAt > graceMs;
  }

  private isSurelyUnreachable(machine: Machine, { now, isLagging }: Round): boolean {
    if (!this.liveness.isUnreachable(machine, now)) return false;
    if (!isLagging && !machine.leaseExpired) return true;
    const patienceMs = this.liveness.patienceMs * (isLagging ? 2 : 1);
    return now - machine.lastHeardAt > patienceMs;
  }

  /**
   * A partition heals, and then the zone's machines are worth more than new ones: they are up, hold the images, and may
   * be the only place for replicas that have to be spread. So they are left alone, and the end of their leases is the
   * proof. Only shortly before that a deletion is quicker, for replicas that can then run elsewhere at once; and in a
   * failover that waits for nothing else, unless some controller may extend the leases.
   */
  private isDeadInPartitionedZone(
    machine: Machine,
    holdsUpTakeover: boolean,
    now: number,
  ): boolean {
    const silentForMs = now - machine.lastHeardAt;
    if (silentForMs > MAX_PARTITION_MS) return true;
    // Its tasks run elsewhere by now, so it is not worth its price.
    if (this.deps.saveMoney && machine.leaseExpired) return true;
    const waitMs = this.deps.leaseS * 1000 * PARTITIONED_LEASE_SHARE;
    const extendableUntil = this.deps.leasesExtendableUntil(machine.zone);
    if (extendableUntil === null)
      return holdsUpTakeover || (machine.serviceTasks > 0 && silentForMs > waitMs);
    return (
      (machine.serviceTasks > 0 || machine.awaitingReconciliation) &&
      this.deps.zones.size - this.zones.count() >= MIN_REACHABLE_ZONES &&
      now > extendableUntil + waitMs
    );
  }
}
