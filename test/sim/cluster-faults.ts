/** Faults of the machines and the network of a simulated cluster, available as `Cluster.faults`. */
import type { VirtualClock } from './clock.js';
import { zoneOf } from './cluster-config.js';
import type { CloudService } from './cloud.js';
import type { Invariants } from './invariants.js';
import type { Network } from './network.js';
import type { Users } from './users.js';

/** The simulated services and users that faults affect. */
export interface ClusterFaultsDependencies {
  clock: VirtualClock;
  network: Network;
  cloud: CloudService;
  invariants: Invariants;
  users: Users;
  isNode: (host: string) => boolean;
  /** Ends the node's process and starts a new one after `downMs`. */
  crash: (name: string, downMs: number) => void;
}

/** A restart of a controller whose last messages are late, in milliseconds. */
export interface RestartWithLateMessages {
  /** Time before the end of the process in which its messages are held up. */
  heldMs: number;
  /** Time until the new process starts. */
  downMs: number;
  /** Time from the start of the new process until the messages of the earlier one arrive. */
  lateMs: number;
}

/** Injects faults. Each fault begins at once and ends by itself after the given time. */
export class ClusterFaults {
  constructor(private readonly deps: ClusterFaultsDependencies) {}

  /** Returns a predicate for the hosts of the selected machines. */
  hostsOf(machines: (id: string) => boolean): (host: string) => boolean {
    return (host) => {
      const id = /^w-(.*):9000$/.exec(host)?.[1];
      return id !== undefined && machines(id);
    };
  }

  /** Holds commands to these machines for the given time; the commands, and the responses to them, arrive after it. */
  holdCommands(machines: (id: string) => boolean, ms: number): void {
    const chosen = this.hostsOf(machines);
    const until = this.deps.clock.time + ms;
    this.deps.network.partitions.push({
      a: (host) => this.deps.isNode(host),
      b: chosen,
      until,
      mode: 'hold',
      requestsOnly: true,
    });
  }

  /** Keeps the machines from opening connections to any controller; commands sent directly to them still arrive. */
  blockConnections(machines: (id: string) => boolean, ms: number): void {
    const chosen = this.hostsOf(machines);
    const until = this.deps.clock.time + ms;
    this.deps.network.partitions.push({
      a: chosen,
      b: (host) => this.deps.isNode(host),
      until,
      mode: 'reset',
      requestsOnly: true,
    });
  }

  /** Returns the ids of the jobs that have started tasks and that no user has cancelled. */
  runningJobs(): string[] {
    const ids = [...this.deps.invariants.placesByTask.keys()].map((task) =>
      task.slice(0, task.lastIndexOf('/')),
    );
    return [...new Set(ids)].filter((id) => !this.deps.invariants.jobs.get(id)!.cancelRequested);
  }

  /** Makes users cancel the first `count` running jobs at once, and the machines of these jobs hang for `hangMs`. */
  cancelRunning(count: number, hangMs: number, via?: string): void {
    for (const id of this.runningJobs().slice(0, count)) {
      void this.deps.users.cancel(id, via);
      for (const [task, places] of this.deps.invariants.placesByTask)
        if (task.startsWith(`${id}/`))
          for (const place of places) this.hangMachine(place.machine, hangMs);
    }
  }

  /** Makes the machine hang for `ms`; afterwards its tasks continue only if the worker's lease has not expired. */
  hangMachine(machine: string, ms: number): void {
    this.deps.network.hosts.get(`w-${machine}:9000`)!.hangsUntil = this.deps.clock.time + ms;
  }

  /** Isolates the node from the state service and the other controllers, not from its workers or users. */
  isolate(name: string, ms: number, mode: 'hold' | 'reset'): void {
    this.deps.network.partitions.push({
      a: (host) => host === `${name}:80`,
      b: (host) => host === 'state:1' || this.deps.isNode(host),
      until: this.deps.clock.time + ms,
      mode,
    });
  }

  /** Isolates the machines and controllers of a zone from all other hosts. */
  isolateZone(zone: string, ms: number, mode: 'hold' | 'reset'): void {
    const inside = this.isHostIn(zone);
    this.deps.network.partitions.push({
      a: inside,
      b: (host) => !inside(host),
      until: this.deps.clock.time + ms,
      mode,
    });
  }

  /**
   * Restarts the controller; what it sent to the other one shortly before reaches that one only after the restart. The
   * messages of the new process are not held up, since they have a connection of their own.
   */
  restartWithLateMessages(
    name: string,
    receiver: string,
    { heldMs, downMs, lateMs }: RestartWithLateMessages,
  ): void {
    const { clock, network } = this.deps;
    const endsAt = clock.time + heldMs;
    network.partitions.push({
      a: (host) => host === `${name}:80`,
      b: (host) => host === `${receiver}:80`,
      until: endsAt + downMs + lateMs,
      mode: 'hold',
      oneWay: true,
      sentBefore: endsAt,
    });
    clock.after(heldMs, () => {
      this.deps.crash(name, downMs);
    });
  }

  /** Returns a predicate for the hosts of machines in the zone. */
  isMachineHostIn(zone: string): (host: string) => boolean {
    return this.hostsOf((id) => this.deps.cloud.machines.get(id)?.zone === zone);
  }

  /** Returns a predicate for the hosts of machines and controllers in the zone. */
  isHostIn(zone: string): (host: string) => boolean {
    const isMachineHost = this.isMachineHostIn(zone);
    const isNodeHost = (host: string): boolean =>
      this.deps.isNode(host) && zoneOf(host.slice(0, host.indexOf(':'))) === zone;
    return (host) => isMachineHost(host) || isNodeHost(host);
  }
}
