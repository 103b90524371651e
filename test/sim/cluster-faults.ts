/** Faults of machines and of the network in a simulated deployment. */
import type { VirtualClock } from './clock.js';
import { zoneOf } from './cluster-config.js';
import type { CloudService } from './cloud.js';
import type { Invariants } from './invariants.js';
import type { Network } from './network.js';
import type { Users } from './users.js';

/** What faults act on. */
export interface ClusterFaultsDependencies {
  clock: VirtualClock;
  network: Network;
  cloud: CloudService;
  invariants: Invariants;
  users: Users;
  isNode: (host: string) => boolean;
}

/** Each fault begins at once, and ends by itself after its time. */
export class ClusterFaults {
  constructor(private readonly deps: ClusterFaultsDependencies) {}

  /** Addresses of the chosen machines, as a filter of hosts. */
  hostsOf(machines: (id: string) => boolean): (host: string) => boolean {
    return (host) => {
      const id = /^w-(.*):9000$/.exec(host)?.[1];
      return id !== undefined && machines(id);
    };
  }

  /** Commands to these machines and their answers are held for a while, and arrive after it. */
  holdCommands(machines: (id: string) => boolean, ms: number): void {
    const chosen = this.hostsOf(machines);
    const until = this.deps.clock.time + ms;
    this.deps.network.partitions.push({
      a: (host) => this.deps.isNode(host),
      b: chosen,
      until,
      mode: 'hold',
      connectionsOnly: true,
    });
  }

  /** The machines can't open connections to any controller, while direct commands reach them. */
  blockConnections(machines: (id: string) => boolean, ms: number): void {
    const chosen = this.hostsOf(machines);
    const until = this.deps.clock.time + ms;
    this.deps.network.partitions.push({
      a: chosen,
      b: (host) => this.deps.isNode(host),
      until,
      mode: 'reset',
      connectionsOnly: true,
    });
  }

  /** What runs now, by job. */
  runningJobs(): string[] {
    const ids = [...this.deps.invariants.placesByTask.keys()].map((task) =>
      task.slice(0, task.lastIndexOf('/')),
    );
    return [...new Set(ids)].filter((id) => !this.deps.invariants.jobs.get(id)!.cancelRequested);
  }

  /** Users cancel jobs that run, all at once; their machines stand still for as long. */
  cancelRunning(count: number, hangMs: number, via?: string): void {
    for (const id of this.runningJobs().slice(0, count)) {
      void this.deps.users.cancel(id, via);
      for (const [task, places] of this.deps.invariants.placesByTask)
        if (task.startsWith(`${id}/`))
          for (const place of places) this.hangMachine(place.machine, hangMs);
    }
  }

  /** The machine stands still, and goes on within its lease. */
  hangMachine(machine: string, ms: number): void {
    this.deps.network.hosts.get(`w-${machine}:9000`)!.hangsUntil = this.deps.clock.time + ms;
  }

  /** The node loses the state service and the other controllers, not its workers or users. */
  isolate(name: string, ms: number, mode: 'hold' | 'reset'): void {
    this.deps.network.partitions.push({
      a: (host) => host === `${name}:80`,
      b: (host) => host === 'state:1' || this.deps.isNode(host),
      until: this.deps.clock.time + ms,
      mode,
    });
  }

  /** Everything that ends at a machine of the zone. */
  isMachineHostIn(zone: string): (host: string) => boolean {
    return this.hostsOf((id) => this.deps.cloud.machines.get(id)?.zone === zone);
  }

  /** Everything that ends at a machine or a controller of the zone. */
  isHostIn(zone: string): (host: string) => boolean {
    const isMachineHost = this.isMachineHostIn(zone);
    const isNodeHost = (host: string): boolean =>
      this.deps.isNode(host) && zoneOf(host.slice(0, host.indexOf(':'))) === zone;
    return (host) => isMachineHost(host) || isNodeHost(host);
  }
}
