/** Requests machines from the cloud according to the scaling plan. */
import { MAX_MACHINES_PER_REQUEST } from '@millring/duties';
import type { OperatorSettings } from '../settings/operator.js';
import type { WaitingTasks } from '../placement/waiting-tasks.js';
import type { Runtime } from '../runtime.js';
import type { MachineType } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { MachineRequestResult } from './cloud.js';
import type { MachineActions } from './machine-actions.js';
import type { MachineDeletion } from './machine-deletion.js';
import type { MachineLiveness } from './machine-liveness.js';
import { type Demand, type Pool, planScaleOut } from './scaling-plan.js';
import { type ProvisionForWaiting, provideForWaiting } from './unschedulable-tasks.js';
import type { ZonePartitions } from './zone-partitions.js';

/** Dependencies of scaling out on the leader and its settings. */
export interface ScaleOutDependencies {
  runtime: Runtime;
  actions: MachineActions;
  table: MachineTable;
  operator: OperatorSettings;
  types: MachineType[];
  minimizeCost: boolean;
  /** Zones that have controllers. */
  controllerZones: Set<string>;
  isLeader(): boolean;
}

/** How long nothing is requested from a pool whose last request was not granted in full or has an unknown outcome. */
const NO_CAPACITY_BACKOFF_MS = 12_000;
/** How long nothing is requested after a rejected request, which indicates nothing about the pool's capacity. */
const REJECTED_BACKOFF_MS = 2000;

/** CPUs of the machines that are up or booting. */
export interface Capacity {
  ordinaryCpus: number;
  spotCpus: number;
}

/** Manages the pools that machines are requested from, with at most one pending request for each pool. */
export class ScaleOut {
  private readonly pools = new Map<string, Pool>();
  /** Number of machines in the pending request, by pool. */
  private readonly pendingRequests = new Map<Pool, number>();
  /** The machines that the last `updatePools` counted. */
  private machines: Machine[] = [];

  constructor(
    private readonly deps: ScaleOutDependencies,
    private readonly deletion: MachineDeletion,
    private readonly liveness: MachineLiveness,
    private readonly partitions: ZonePartitions,
  ) {
    for (const type of deps.types)
      for (const zone of type.zones)
        for (const spot of [false, true])
          this.pools.set(poolKey(type.name, zone, spot), {
            type,
            zone,
            spot,
            hasControllers: deps.controllerZones.has(zone),
            machineCount: 0,
            unavailableUntil: 0,
          });
  }

  /** Recounts the machines of each pool, and blocks the pools of quarantined zones for `blockMs`. */
  updatePools(now: number, blockMs: number): Capacity {
    for (const pool of this.pools.values()) pool.machineCount = 0;
    this.machines = [...this.deps.table.all()].filter((machine) =>
      this.countsAsCapacity(machine, now),
    );
    for (const machine of this.machines) {
      const pool = this.pools.get(poolKey(machine.type.name, machine.zone, machine.spot));
      if (pool) pool.machineCount++;
    }
    const capacity: Capacity = { ordinaryCpus: 0, spotCpus: 0 };
    for (const pool of this.pools.values()) {
      if (this.partitions.isQuarantined(pool.zone, now))
        pool.unavailableUntil = Math.max(pool.unavailableUntil, now + blockMs);
      const cpus = pool.machineCount * pool.type.cpus;
      if (pool.spot) capacity.spotCpus += cpus;
      else capacity.ordinaryCpus += cpus;
    }
    return capacity;
  }

  /**
   * Requests the machines that the demand needs beyond those counted by the last `updatePools`, and machines for waiting
   * tasks that neither have room for. Returns the machines whose room waiting tasks need.
   */
  requestMissing(
    demand: Demand,
    waiting: readonly WaitingTasks[],
    now: number,
  ): ReadonlySet<Machine> {
    const { minimizeCost, operator } = this.deps;
    const plan = planScaleOut({
      pools: [...this.pools.values()],
      demand,
      minimizeCost,
      spareShare: operator.spare_share,
      now,
    });
    for (const pool of this.pendingRequests.keys()) plan.delete(pool);
    const provision = this.provideFor(waiting, plan, now);
    for (const [pool, count] of provision.requests)
      plan.set(pool, Math.min(MAX_MACHINES_PER_REQUEST, (plan.get(pool) ?? 0) + count));
    for (const [pool, count] of plan) void this.request(pool, count);
    return provision.neededMachines;
  }

  private provideFor(
    waiting: readonly WaitingTasks[],
    plan: ReadonlyMap<Pool, number>,
    now: number,
  ): ProvisionForWaiting {
    const { minimizeCost, runtime } = this.deps;
    const provision = provideForWaiting({
      waiting,
      machines: this.machines,
      requested: new Map([...this.pendingRequests, ...plan]),
      pools: [...this.pools.values()].filter(
        (pool) => pool.unavailableUntil <= now && !this.pendingRequests.has(pool),
      ),
      minimizeCost,
      now,
    });
    if (provision.requests.size > 0)
      runtime.log.info(
        { tasks: Object.fromEntries(provision.unschedulable) },
        'requesting machines for unschedulable tasks',
      );
    return provision;
  }

  /** Tracks a request of a former leader. Until its result is known, nothing more is requested from that pool. */
  restore(
    type: string,
    zone: string,
    spot: boolean,
    count: number,
    result: Promise<MachineRequestResult>,
  ): void {
    const pool = this.pools.get(poolKey(type, zone, spot));
    if (pool) void this.settle(pool, count, result);
  }

  /** Whether the machine is up or booting and is not about to be removed. */
  private countsAsCapacity(machine: Machine, now: number): boolean {
    if (machine.deleting || machine.preemptionDeadline !== null) return false;
    if (machine.drainReason && machine.drainReason !== 'surplus') return false;
    if (this.liveness.isUnreachable(machine, now)) return false;
    return machine.reported || !this.partitions.isPartitioned(machine.zone);
  }

  private async request(pool: Pool, count: number): Promise<void> {
    const { actions } = this.deps;
    if (!actions.tryAcquireCall() || !this.deps.isLeader()) return;
    await this.settle(pool, count, actions.requestMachines(pool, count));
  }

  private async settle(
    pool: Pool,
    count: number,
    pending: Promise<MachineRequestResult>,
  ): Promise<void> {
    const { clock, log } = this.deps.runtime;
    this.pendingRequests.set(pool, count);
    const result = await pending;
    this.pendingRequests.delete(pool);
    const now = clock.now();
    const { type, zone, spot } = pool;
    const granted = result.kind === 'granted' ? result.ids.length : 0;
    log.info(
      { type: type.name, zone, spot, count, result: result.kind, granted },
      'machine request completed',
    );
    if (result.kind === 'granted') this.addMachines(pool, result.ids, now);
    if (granted < count)
      pool.unavailableUntil =
        now + (result.kind === 'rejected' ? REJECTED_BACKOFF_MS : NO_CAPACITY_BACKOFF_MS);
  }

  private addMachines({ type, zone, spot }: Pool, ids: readonly string[], now: number): void {
    const { table } = this.deps;
    for (const id of ids) {
      if (table.get(id) || this.deletion.isDeleted(id)) continue;
      const machine = table.add(id, '', type, zone, spot, now);
      machine.rentedAt = now;
    }
  }
}

function poolKey(type: string, zone: string, spot: boolean): string {
  return `${type}|${zone}|${spot}`;
}
