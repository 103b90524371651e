/** An autoscaler by itself, before a cloud that only records its calls. */
import { Cloud } from '../../src/autoscaler/cloud.js';
import { DirectActions } from '../../src/autoscaler/machine-actions.js';
import { Autoscaler } from '../../src/autoscaler/autoscaler.js';
import type { Runtime } from '../../src/runtime.js';
import type { Body } from '../../src/wire/cbor.js';
import { defaultOperatorSettings } from '../../src/settings/operator.js';
import type { MachineType, Heartbeat } from '../../src/wire/model.js';
import { type Machine } from '../../src/workers/machine.js';
import { MachineTable } from '../../src/workers/machine-table.js';
import { quietLog } from './quiet-log.js';
import { type MachineListEntry, decodeCloudRequest, encodeMachineList } from './wire/cloud.js';

/** The only machine type. */
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
/** Workers' lease, in seconds. */
export const LEASE_S = 20;
const HEARTBEAT_INTERVAL_S = 2;

/** Three zones of silent machines, of which tests say which are heard. */
export class AutoscalerHarness {
  now = 0;
  deleted = new Set<string>();
  requestedZones = new Set<string>();
  /** Not in the cloud's list any more. */
  readonly unlisted = new Set<string>();
  /** Until when controllers in zones a and b may extend the leases there. */
  extendableUntil = Infinity;
  isLagging = false;
  demand = 400;
  readonly table: MachineTable;
  readonly autoscaler: Autoscaler;

  constructor(perZone: number) {
    const runtime = this.createRuntime();
    const none = (): undefined => undefined;
    this.table = new MachineTable(100, LEASE_S * 1000, none, {
      attemptAdded: none,
      attemptEnded: none,
    });
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
        isUsable: () => true,
      }),
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
      for (let i = 0; i < perZone; i++) {
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
    const there = [...this.table.all()].filter((m) => !this.unlisted.has(m.id));
    const entries = there.map(({ id, endpoint, zone, spot }): MachineListEntry => ({
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
      sequence: machine.lastSequence + 1,
      token: 100,
      preemptionNoticeS: null,
      tasks: [],
    };
    machine.lastHeardAt = this.now;
    this.table.applyHeartbeat(machine, heartbeat, this.now);
    machine.awaitingReconciliation = false;
    machine.commandFailures = 0;
  }

  /** Time goes on; those that are heard send heartbeats, the others answer no probe either. */
  async advance(seconds: number, heard: (machine: Machine) => boolean): Promise<void> {
    for (let i = 0; i < seconds * 2; i++) {
      this.now += 500;
      for (const machine of [...this.table.all()])
        if (heard(machine)) this.sendHeartbeat(machine);
        else if (this.autoscaler.isHeartbeatOverdue(machine, this.now)) machine.commandFailures++;
      this.autoscaler.tick();
      await new Promise<void>((done) => setImmediate(done));
    }
  }
}
