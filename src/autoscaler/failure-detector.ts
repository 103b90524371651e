/**
 * Decides which machines are declared dead. Once the cloud has deleted a machine, nothing can run on it any more, so
 * its tasks can start elsewhere before its lease expires.
 */
import type { OperatorSettings } from '../settings/operator.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import { DeletionBudget } from './deletion-budget.js';
import type { MachineLiveness } from './machine-liveness.js';
import type { ZonePartitions } from './zone-partitions.js';

/** Time after a failover within which machines have to respond before they count as delaying it. */
const RECONCILIATION_GRACE_MS = 2000;
/**
 * Share of the machines in reachable zones that must have responded after a failover before the others may be declared
 * dead.
 */
const RECONCILED_SHARE_THRESHOLD = 0.85;
/** Consecutive requests without a response after which a machine counts as delaying a failover. */
const MIN_COMMAND_FAILURES = 2;
const MIN_COMMAND_FAILURES_WHILE_LAGGING = 3;
/**
 * With at least this many machines, messages from some of them arrive at any time. If none arrives for
 * `ISOLATION_TIMEOUT_MS`, this controller itself is isolated.
 */
const MIN_MACHINES_FOR_ISOLATION_TIMEOUT = 30;
const ISOLATION_TIMEOUT_MS = 1500;
/**
 * If the unreachable ordinary machines in reachable zones exceed both this share and this count, this controller itself
 * is isolated.
 */
const ISOLATION_UNREACHABLE_SHARE = 0.3;
const ISOLATION_UNREACHABLE_COUNT = 2;
/**
 * Share of the lease duration after which a machine in a partitioned zone may be deleted, so that its replicas can
 * start elsewhere.
 */
const PARTITIONED_LEASE_SHARE = 0.8;
/** After this time without contact, a machine in a partitioned zone is declared dead. */
const MAX_PARTITION_MS = 120_000;
/** Spread replicas need at least this many reachable zones to be placed. */
const MIN_REACHABLE_ZONES = 2;

/** Dependencies of the failure detector on the leader and its settings. */
export interface FailureDetectorDependencies {
  table: MachineTable;
  operator: OperatorSettings;
  minimizeCost: boolean;
  /** Duration of a worker's lease, in seconds. */
  leaseS: number;
  /** All zones that machines can be requested in. */
  allZones: Set<string>;
  /**
   * Zones in which this controller has lost contact with all controllers, and had contact until recently. Missing
   * heartbeats from these zones don't prove that a machine is dead.
   */
  zonesOutOfContact(): Set<string>;
  /** Until when the controllers in a partitioned zone may extend leases there; null if it has no controller. */
  leasesExtendableUntil(zone: string): number | null;
  /**
   * Whether this controller's event loop lags; messages of machines that seem unreachable may then be waiting unread.
   */
  isLagging(): boolean;
}

/** Conditions that apply to all machines in one evaluation. */
interface Evaluation {
  now: number;
  isLagging: boolean;
  isControllerIsolated: boolean;
  /** Whether more than `RECONCILED_SHARE_THRESHOLD` of the machines outside partitioned zones are reconciled. */
  isNearlyReconciled: boolean;
  zonesOutOfContact: Set<string>;
}

/** Runs on the leader only. */
export class FailureDetector {
  private readonly budget: DeletionBudget;

  /** `startedAt` is the time at which the leader's term began. */
  constructor(
    private readonly deps: FailureDetectorDependencies,
    private readonly liveness: MachineLiveness,
    private readonly partitions: ZonePartitions,
    private readonly startedAt: number,
  ) {
    const { table, operator } = deps;
    this.budget = new DeletionBudget(
      () => table.size(),
      operator.deletions_per_round,
      operator.round_s * 1000,
    );
  }

  /** Updates the zone partitions and returns the machines to delete now because they are dead or faulty. */
  declareDeadMachines(now: number): Machine[] {
    const machines = [...this.deps.table.all()].filter(
      (machine) => machine.reported || machine.stored || machine.leaseExpired,
    );
    this.partitions.update(machines, now);
    this.budget.expire(now);
    const evaluation = this.startEvaluation(machines, now);
    const dead = machines.filter(
      (machine) => !machine.deleting && this.isDead(machine, evaluation),
    );
    for (const machine of machines)
      if (machine.drainReason === 'faulty' && !machine.deleting && this.budget.tryAcquire(now))
        dead.push(machine);
    return dead;
  }

  private startEvaluation(machines: readonly Machine[], now: number): Evaluation {
    const reachable = machines.filter((machine) => !this.partitions.isPartitioned(machine.zone));
    const reconciled = reachable.filter((machine) => machine.isReconciled()).length;
    return {
      now,
      isLagging: this.deps.isLagging(),
      isControllerIsolated: this.isControllerIsolated(machines, reachable, now),
      isNearlyReconciled: reconciled > RECONCILED_SHARE_THRESHOLD * reachable.length,
      zonesOutOfContact: this.deps.zonesOutOfContact(),
    };
  }

  /**
   * Whether this controller itself is isolated: in a cluster of at least `MIN_MACHINES_FOR_ISOLATION_TIMEOUT` machines,
   * none has sent anything for `ISOLATION_TIMEOUT_MS`; or too many ordinary machines are unreachable in zones that
   * don't count as partitioned.
   */
  private isControllerIsolated(
    machines: readonly Machine[],
    reachable: readonly Machine[],
    now: number,
  ): boolean {
    const lastHeardAt = machines.reduce(
      (latest, machine) => Math.max(latest, machine.lastHeardAt),
      -Infinity,
    );
    if (
      machines.length >= MIN_MACHINES_FOR_ISOLATION_TIMEOUT &&
      now - lastHeardAt > ISOLATION_TIMEOUT_MS
    )
      return true;
    const ordinary = reachable.filter((machine) => !machine.spot);
    const unreachable = ordinary.filter((machine) => this.liveness.isUnreachable(machine, now));
    return (
      unreachable.length >
      Math.max(ISOLATION_UNREACHABLE_COUNT, ordinary.length * ISOLATION_UNREACHABLE_SHARE)
    );
  }

  private isDead(machine: Machine, evaluation: Evaluation): boolean {
    const { now } = evaluation;
    // The cloud no longer lists the machine, so it was most likely preempted. The deletion proves that it no longer
    // exists, and can't affect a running machine, since the cloud lists all of those.
    if (machine.unlisted && this.liveness.isHeartbeatOverdue(machine, now)) return true;
    const isPreempted = machine.preemptionDeadline !== null && now > machine.preemptionDeadline;
    const delaysFailover = this.delaysFailover(machine, evaluation);
    if (!delaysFailover && !this.isConfirmedUnreachable(machine, evaluation)) return false;
    if (isPreempted) return true;
    if (this.partitions.isPartitioned(machine.zone))
      return this.isDeadInPartitionedZone(machine, delaysFailover, now);
    if (evaluation.isControllerIsolated || evaluation.zonesOutOfContact.has(machine.zone))
      return false;
    return this.budget.tryAcquire(now);
  }

  /**
   * Whether the machine is probably dead and delays a failover. After a failover, all jobs of former leaders wait until
   * the last machine has responded. Once nearly all machines have responded, one that has not is probably dead and does
   * not get the time that an unreachable machine otherwise has. While this controller lags, more requests without a
   * response are required, since responses may be waiting unread. In a partitioned zone, the grace period is doubled.
   */
  private delaysFailover(machine: Machine, evaluation: Evaluation): boolean {
    const minFailures = evaluation.isLagging
      ? MIN_COMMAND_FAILURES_WHILE_LAGGING
      : MIN_COMMAND_FAILURES;
    if (!machine.awaitingReconciliation || machine.isReconciled()) return false;
    if (machine.commandFailures < minFailures || !evaluation.isNearlyReconciled) return false;
    const graceMs = this.partitions.isPartitioned(machine.zone)
      ? 2 * RECONCILIATION_GRACE_MS
      : RECONCILIATION_GRACE_MS;
    return evaluation.now - this.startedAt > graceMs;
  }

  private isConfirmedUnreachable(machine: Machine, { now, isLagging }: Evaluation): boolean {
    if (!this.liveness.isUnreachable(machine, now)) return false;
    if (!isLagging && !machine.leaseExpired) return true;
    const timeoutMs = this.liveness.unreachableAfterMs * (isLagging ? 2 : 1);
    return now - machine.lastHeardAt > timeoutMs;
  }

  /**
   * Whether to delete an unreachable machine in a partitioned zone. Such a machine is usually kept, and the expiry of
   * its lease proves that nothing runs on it: once the partition has healed, it is more useful than a new machine,
   * since it is up, has the images, and may be the only place for replicas that must be spread. It is deleted if
   * - nothing was received from it for `MAX_PARTITION_MS`; or
   * - `minimizeCost` is set and its lease has expired; or
   * - the zone has no controller that can extend the lease, and either the machine delays a failover (the other zones
   *   don't wait for it), or it runs service tasks and its lease expires soon (replicas can then run elsewhere at
   *   once); or
   * - the zone has controllers, but the last extension that they may have made also expires soon, at least
   *   `MIN_REACHABLE_ZONES` zones are reachable, and the machine runs service tasks or a failover still waits for it.
   */
  private isDeadInPartitionedZone(machine: Machine, delaysFailover: boolean, now: number): boolean {
    const timeSinceHeardMs = now - machine.lastHeardAt;
    if (timeSinceHeardMs > MAX_PARTITION_MS) return true;
    // Its tasks already run elsewhere, so keeping the machine would only cost money.
    if (this.deps.minimizeCost && machine.leaseExpired) return true;
    const waitMs = this.deps.leaseS * 1000 * PARTITIONED_LEASE_SHARE;
    const extendableUntil = this.deps.leasesExtendableUntil(machine.zone);
    if (extendableUntil === null)
      return delaysFailover || (machine.serviceTasks > 0 && timeSinceHeardMs > waitMs);
    return (
      (machine.serviceTasks > 0 || machine.awaitingReconciliation) &&
      this.deps.allZones.size - this.partitions.count() >= MIN_REACHABLE_ZONES &&
      now > extendableUntil + waitMs
    );
  }
}
