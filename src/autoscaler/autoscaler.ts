/** Adapts the number of machines to the demand, and replaces machines that are dead. */
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

/** What the autoscaler needs of the leader and of its settings; the parts' interfaces tell what each is for. */
export interface AutoscalerDependencies
  extends
    CloudInventoryDependencies,
    MachineDeletionDependencies,
    Omit<FailureDetectorDependencies, 'zones'>,
    ScaleInDependencies,
    ScaleOutDependencies {
  /** Seconds between two heartbeats of a machine. */
  heartbeatIntervalS: number;
  /** What the jobs need at this moment. */
  demand(): Demand;
}

const PLANNING_INTERVAL_MS = 1000;
/** A new leader knows by then which zones are partitioned. */
const PARTITION_DETECTION_MS = 2500;

/** Scales out ahead of need, scales in what stands idle, deletes what is dead. Only the leader has one. */
export class Autoscaler {
  private lastPlannedAt = -Infinity;
  private readonly startedAt: number;
  private readonly runtime: Runtime;
  private readonly liveness: MachineLiveness;
  private readonly zones: ZonePartitions;
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
    this.zones = new ZonePartitions(this.liveness);
    this.failureDetector = new FailureDetector(
      { ...deps, zones: new Set(types.flatMap((type) => type.zones)) },
      this.liveness,
      this.zones,
      this.startedAt,
    );
    this.deletion = new MachineDeletion(deps);
    this.inventory = new CloudInventory(deps, this.deletion, this.startedAt);
    this.scaleOut = new ScaleOut(deps, this.deletion, this.liveness, this.zones);
    this.scaleIn = new ScaleIn(deps, this.deletion);
  }

  /** Its zone is partitioned from this controller, as of the last planning. */
  isInPartitionedZone(machine: Machine): boolean {
    return this.zones.isPartitioned(machine.zone);
  }

  /** See `MachineLiveness.isHeartbeatOverdue`. */
  isHeartbeatOverdue(machine: Machine, now: number): boolean {
    return this.liveness.isHeartbeatOverdue(machine, now);
  }

  /** See `MachineLiveness.isUnreachable`. */
  isUnreachable(machine: Machine, now: number): boolean {
    return this.liveness.isUnreachable(machine, now);
  }

  /** The cloud has confirmed the deletion of the machine with this id. */
  isDeleted(id: string): boolean {
    return this.deletion.isDeleted(id);
  }

  /** To be called several times a second; does what is due. */
  tick(): void {
    const now = this.runtime.clock.now();
    this.inventory.readIfDue(now);
    if (now - this.lastPlannedAt < PLANNING_INTERVAL_MS) return;
    this.lastPlannedAt = now;
    this.deleteDead(now);
    if (this.knowsPartitions(now)) this.scale(now);
  }

  /** Follows a deletion that a former leader began; `deleted` resolves to whether the machines are gone. */
  restoreDeletion(ids: readonly string[], deleted: Promise<boolean>): void {
    this.deletion.restore(ids, deleted);
  }

  /** Follows a request for machines that a former leader began. */
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

  /** Otherwise machines might be requested in a partitioned zone, and would be missing elsewhere. */
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
    this.scaleOut.requestMissing(demand, now);
    this.scaleIn.deleteIdle(demand, now);
  }
}
