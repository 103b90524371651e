/** Adapts the number of machines to the demand and replaces dead machines. */
import type { WaitingTasks } from '../placement/waiting-tasks.js';
import type { Runtime } from '../runtime.js';
import type { Machine } from '../workers/machine.js';
import { hasBootTimedOut } from './boot-timeout.js';
import type { MachineRequestResult } from './cloud.js';
import { CloudInventory, type CloudInventoryDependencies } from './cloud-inventory.js';
import { DemandSmoothing } from './demand-smoothing.js';
import { FailureDetector, type FailureDetectorDependencies } from './failure-detector.js';
import { MachineDeletion, type MachineDeletionDependencies } from './machine-deletion.js';
import { MachineLiveness } from './machine-liveness.js';
import { ScaleIn, type ScaleInDependencies } from './scale-in.js';
import { ScaleOut, type ScaleOutDependencies } from './scale-out.js';
import type { Demand } from './scaling-plan.js';
import { ZonePartitions } from './zone-partitions.js';

/** Dependencies of the autoscaler on the leader and its settings, described in the extended interfaces. */
export interface AutoscalerDependencies
  extends
    CloudInventoryDependencies,
    MachineDeletionDependencies,
    Omit<FailureDetectorDependencies, 'allZones'>,
    ScaleInDependencies,
    ScaleOutDependencies {
  /** Interval between two heartbeats of a machine, in seconds. */
  heartbeatIntervalS: number;
  /** Current resource demand of the jobs. */
  demand(): Demand;
  /** The waiting tasks that could start now if machines had room for them. */
  waitingTasks(): WaitingTasks[];
}

const PLANNING_INTERVAL_MS = 1000;
/** Time after which a new leader knows which zones are partitioned. */
const PARTITION_DETECTION_MS = 2500;

/** Scales out ahead of demand, scales in idle machines and deletes dead ones. Runs on the leader only. */
export class Autoscaler {
  private lastPlannedAt = -Infinity;
  private readonly startedAt: number;
  private readonly runtime: Runtime;
  private readonly liveness: MachineLiveness;
  private readonly partitions: ZonePartitions;
  private readonly failureDetector: FailureDetector;
  private readonly deletion: MachineDeletion;
  private readonly inventory: CloudInventory;
  private readonly smoothing = new DemandSmoothing();
  private readonly scaleOut: ScaleOut;
  private readonly scaleIn: ScaleIn;

  constructor(private readonly deps: AutoscalerDependencies) {
    const { runtime, types, operator, heartbeatIntervalS } = deps;
    this.runtime = runtime;
    this.startedAt = runtime.clock.now();
    this.liveness = new MachineLiveness({
      heartbeatIntervalS,
      missedHeartbeats: operator.silent_reports,
    });
    this.partitions = new ZonePartitions(this.liveness);
    this.failureDetector = new FailureDetector(
      { ...deps, allZones: new Set(types.flatMap((type) => type.zones)) },
      this.liveness,
      this.partitions,
      this.startedAt,
    );
    this.deletion = new MachineDeletion(deps);
    this.inventory = new CloudInventory(deps, this.deletion, this.startedAt);
    this.scaleOut = new ScaleOut(deps, this.deletion, this.liveness, this.partitions);
    this.scaleIn = new ScaleIn(deps, this.deletion);
  }

  /** Whether the machine's zone was partitioned from this controller at the last planning. */
  isInPartitionedZone(machine: Machine): boolean {
    return this.partitions.isPartitioned(machine.zone);
  }

  /** See `MachineLiveness.isHeartbeatOverdue`. */
  isHeartbeatOverdue(machine: Machine, now: number): boolean {
    return this.liveness.isHeartbeatOverdue(machine, now);
  }

  /** See `MachineLiveness.isUnreachable`. */
  isUnreachable(machine: Machine, now: number): boolean {
    return this.liveness.isUnreachable(machine, now);
  }

  /** See `MachineDeletion.isDeleted`. */
  isDeleted(id: string): boolean {
    return this.deletion.isDeleted(id);
  }

  /** Runs the actions that are due. Must be called several times a second. */
  tick(): void {
    const now = this.runtime.clock.now();
    this.inventory.readIfDue(now);
    if (now - this.lastPlannedAt < PLANNING_INTERVAL_MS) return;
    this.lastPlannedAt = now;
    this.deleteDead(now);
    if (this.knowsPartitions(now)) this.scale(now);
  }

  /** Tracks a deletion that a former leader started; `deleted` resolves to whether the machines have been deleted. */
  restoreDeletion(ids: readonly string[], deleted: Promise<boolean>): void {
    this.deletion.restore(ids, deleted);
  }

  /** Tracks a request for machines that a former leader started. */
  restoreMachineRequest(
    type: string,
    zone: string,
    spot: boolean,
    count: number,
    result: Promise<MachineRequestResult>,
  ): void {
    this.scaleOut.restore(type, zone, spot, count, result);
  }

  private deleteDead(now: number): void {
    const dead = this.failureDetector.declareDeadMachines(now);
    for (const machine of this.deps.table.all())
      if (hasBootTimedOut(machine, now)) dead.push(machine);
    if (dead.length > 0)
      void this.deletion.delete(dead, 'reclaim', 'unreachable, faulty or boot timeout');
  }

  /**
   * Whether partitioned zones are known. Scaling before that might request machines in a partitioned zone, which would
   * then be missing elsewhere.
   */
  private knowsPartitions(now: number): boolean {
    if (now - this.startedAt > PARTITION_DETECTION_MS) return true;
    for (const machine of this.deps.table.all()) if (machine.awaitingReconciliation) return false;
    return true;
  }

  private scale(now: number): void {
    const { ordinaryCpus, spotCpus } = this.scaleOut.updatePools(now, PLANNING_INTERVAL_MS);
    const demand = this.smoothing.smooth(this.deps.demand(), ordinaryCpus + spotCpus);
    this.runtime.log.debug(
      {
        ordinaryDemandCpus: demand.ordinaryCpus,
        spotEligibleDemandCpus: demand.spotEligibleCpus,
        ordinaryCpus,
        spotCpus,
      },
      'demand and capacity',
    );
    const neededMachines = this.scaleOut.requestMissing(demand, this.deps.waitingTasks(), now);
    this.scaleIn.deleteIdle(demand, neededMachines, now);
  }
}
