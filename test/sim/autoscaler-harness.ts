/** Runs an autoscaler alone, with a fake cloud that records the calls and rents no machines. */
import { Cloud } from '../../src/autoscaler/cloud.js';
import { DirectActions } from '../../src/autoscaler/machine-actions.js';
import { Autoscaler } from '../../src/autoscaler/autoscaler.js';
import type { Runtime } from '../../src/runtime.js';
import type { Body } from '../../src/wire/cbor.js';
import { defaultOperatorSettings } from '../../src/settings/operator.js';
import type { MachineType, Heartbeat } from '../../src/wire/model.js';
import { type Machine } from '../../src/workers/machine.js';
import { MachineTable } from '../../src/workers/machine-table.js';
import { IGNORED_ATTEMPT_EVENTS } from './attempt-events.js';
import { quietLog } from './quiet-log.js';
import { type MachineListEntry, decodeCloudRequest, encodeMachineList } from './wire/cloud.js';

/** The only machine type of the harness. */
export const TYPE: MachineType = {
  name: 't',
  cpus: 8,
  gpus: 0,
  memoryGb: 32,
  fetchGbPerS: 1,
  price: 2,
  spotPrice: 1,
  bootS: 20,
  zones: ['a', 'b', 'c'],
};
/** Duration of the workers' leases, in seconds. */
export const LEASE_S = 20;
const HEARTBEAT_INTERVAL_S = 2;

/** An autoscaler with machines in three zones; tests choose which machines send heartbeats. */
export class AutoscalerHarness {
  /** Time in milliseconds. */
  now = 0;
  /** Ids of the machines that the autoscaler has asked the cloud to delete. */
  deleted = new Set<string>();
  /** Zones in which the autoscaler has tried to rent machines. */
  requestedZones = new Set<string>();
  /** Ids of the machines that the cloud's list omits. */
  readonly unlisted = new Set<string>();
  /** Time in milliseconds until which controllers in zones `a` and `b` may extend the leases in those zones. */
  extendableUntil = Infinity;
  /** Whether the controller reports that its event loop lags. */
  isLagging = false;
  /** Demand for ordinary CPUs. */
  demand = 400;
  readonly table: MachineTable;
  readonly autoscaler: Autoscaler;

  constructor(machinesPerZone: number) {
    const runtime = this.createRuntime();
    this.table = new MachineTable(100, LEASE_S * 1000, () => undefined, IGNORED_ATTEMPT_EVENTS);
    const cloud = new Cloud(runtime, 'cloud:1', 50);
    this.autoscaler = new Autoscaler({
      runtime,
      cloud,
      actions: new DirectActions(cloud, () => 'r'),
      table: this.table,
      operator: defaultOperatorSettings(),
      types: [TYPE],
      minimizeCost: false,
      heartbeatIntervalS: HEARTBEAT_INTERVAL_S,
      listLagS: 2,
      isLeader: () => true,
      demand: () => ({
        ordinaryCpus: this.demand,
        spotEligibleCpus: 0,
        arrivingCpusPerS: 0,
        bootS: 20,
        largestMachineCpus: 8,
        hasWork: this.demand > 0,
        isUsable: () => true,
      }),
      waitingTasks: () => [],
      zonesOutOfContact: () => new Set(),
      leasesExtendableUntil: (zone) => (zone === 'c' ? null : this.extendableUntil),
      controllerZones: new Set(['a', 'b']),
      leaseS: LEASE_S,
      isLagging: () => this.isLagging,
      machineDeleted: (machine) => {
        this.table.remove(machine, this.now);
      },
    });
    for (const zone of ['a', 'b', 'c'])
      for (let i = 0; i < machinesPerZone; i++) {
        const machine = this.table.add(`${zone}${i}`, `${zone}${i}:1`, TYPE, zone, false, 0);
        machine.stored = true;
        machine.awaitingReconciliation = true;
      }
  }

  private createRuntime(): Runtime {
    return {
      clock: { now: () => this.now, after: () => () => undefined },
      http: {
        send: (_to, _method, path, body) => {
          const request = decodeCloudRequest(path, body ?? {});
          if (request.kind === 'delete') for (const id of request.machines) this.deleted.add(id);
          if (request.kind === 'rent') this.requestedZones.add(request.zone);
          return Promise.resolve({
            status: request.kind === 'rent' ? 503 : 200,
            body: request.kind === 'list' ? this.list() : {},
          });
        },
      },
      log: quietLog,
      random: () => 0.5,
    };
  }

  private list(): Body {
    const listed = [...this.table.all()].filter((m) => !this.unlisted.has(m.id));
    const entries = listed.map(({ id, endpoint, zone, spot }): MachineListEntry => ({
      id,
      endpoint,
      type: TYPE.name,
      zone,
      spot,
      state: 'running',
      ageS: 100,
    }));
    return encodeMachineList(entries, false);
  }

  private sendHeartbeat(machine: Machine): void {
    const heartbeat: Heartbeat = {
      machine: machine.id,
      endpoint: machine.endpoint,
      type: 't',
      zone: machine.zone,
      spot: false,
      incarnation: 1,
      sequence: machine.lastAppliedSequence + 1,
      token: 100,
      preemptionNoticeS: null,
      tasks: [],
    };
    machine.lastHeardAt = this.now;
    this.table.applyHeartbeat(machine, heartbeat, this.now);
    machine.awaitingReconciliation = false;
    machine.commandFailures = 0;
  }

  /**
   * Advances the time in steps of 500 ms. Machines for which `sendsHeartbeat` is true send heartbeats; the others are
   * unreachable and fail a probe in each step while their heartbeat is overdue.
   */
  async advance(seconds: number, sendsHeartbeat: (machine: Machine) => boolean): Promise<void> {
    for (let i = 0; i < seconds * 2; i++) {
      this.now += 500;
      for (const machine of [...this.table.all()])
        if (sendsHeartbeat(machine)) this.sendHeartbeat(machine);
        else if (this.autoscaler.isHeartbeatOverdue(machine, this.now)) machine.commandFailures++;
      this.autoscaler.tick();
      await new Promise<void>((done) => setImmediate(done));
    }
  }
}
