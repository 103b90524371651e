/** A whole deployment in virtual time: controllers, state service, cloud, workers and users. */
import type { Build } from '@millring/rollout';
import { BUILD } from '../../src/build.js';
import { ControllerNode } from '../../src/node.js';
import { TEAM_USAGE_VIOLATION } from '../../src/placement/usage-audit.js';
import type { Log } from '../../src/runtime.js';
import { defaultOperatorSettings } from '../../src/settings/operator.js';
import type { PlatformSettings } from '../../src/settings/platform.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import { CloudService, type CloudMachine } from './cloud.js';
import {
  type ClusterConfig,
  type CompleteClusterConfig,
  TEAMS,
  completeConfig,
} from './cluster-config.js';
import { ClusterFaults } from './cluster-faults.js';
import { VirtualClock } from './clock.js';
import { GangCoordinator } from './gang-coordinator.js';
import { Network } from './network.js';
import { serveNode } from './node-requests.js';
import { nodeSettings } from './node-settings.js';
import { type SimulatedProcess, simulatedRuntime } from './simulated-runtime.js';
import type { MachineRoom } from './places.js';
import { SeededRandom } from './random.js';
import { Invariants } from './invariants.js';
import { StateService } from './state-service.js';
import { Users } from './users.js';
import { Worker } from './worker.js';
import { quietLog } from './quiet-log.js';
import { responseToUngatedBuild } from './ungated-build.js';

interface NodeProcess extends SimulatedProcess {
  node: ControllerNode;
}

/** Composes the stand-ins and the controllers. All that is random comes from the seed of the configuration; `run` lets time go on. */
export class Cluster {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: Network;
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly invariants: Invariants;
  readonly gangs: GangCoordinator;
  readonly users: Users;
  readonly faults: ClusterFaults;
  readonly nodeNames: string[];
  private readonly processes = new Map<string, NodeProcess>();
  nextMachineFaulty = false;
  nextMachineSlowness = 1;
  /** Further checks after each step. */
  readonly checks: (() => void)[] = [];
  /** Nodes that run, from their next start on, as a build from before levels would: see `responseToUngatedBuild`. */
  readonly ungated = new Set<string>();
  /** When the last fault was over. */
  faultsEndedAt: number | null = null;

  private readonly config: CompleteClusterConfig;

  constructor(given: ClusterConfig) {
    const config = completeConfig(given);
    this.config = config;
    this.nodeNames = Array.from({ length: config.nodes }, (_, i) => `n${i}`);
    this.builds = new Map(Object.entries(config.builds));
    this.random = new SeededRandom(config.seed);
    this.network = new Network(this.clock, this.random);
    this.gangs = new GangCoordinator(this.clock, this.random);
    this.invariants = new Invariants(
      () => this.clock.time,
      config.cancelMs,
      new Map(TEAMS.map((team) => [team, config.teamLimit])),
    );
    this.state = new StateService(this.clock, this.random, config.state ?? null);
    this.cloud = this.createCloud();
    this.users = new Users(this);
    this.faults = new ClusterFaults(this);
    this.network.hosts.set('state:1', {
      handler: (...request) => this.state.handle(...request),
      hangsUntil: 0,
    });
    this.network.hosts.set('cloud:1', {
      handler: (_method, path, body) => this.cloud.handle(path, body),
      hangsUntil: 0,
    });
    for (const name of this.nodeNames) this.startNode(name);
    for (let i = 0; i < config.ordinaryUp; i++)
      this.cloud.add('t16', config.zones[(i + 1) % config.zones.length], false, true);
  }

  private createCloud(): CloudService {
    const { pools, cloudRps, types } = this.config;
    return new CloudService(
      this.clock,
      this.random,
      pools,
      (machine) => this.bootWorker(machine),
      (id) => `w-${id}:9000`,
      cloudRps,
      types,
    );
  }

  private cpusOf(machine: CloudMachine): number {
    return this.config.types.find((type) => type.name === machine.type)!.cpus;
  }

  private bootWorker(machine: CloudMachine): Worker {
    const worker = new Worker(this.network, this.random, this.invariants, this.gangs, {
      id: machine.id,
      address: `w-${machine.id}:9000`,
      type: machine.type,
      cpus: this.cpusOf(machine),
      zone: machine.zone,
      spot: machine.spot,
      reportMs: this.config.reportMs,
      leaseMs: this.config.leaseMs,
      pollMs: this.config.pollMs,
      nodes: this.nodeNames.map((name) => ({ name, address: `${name}:80` })),
      slow: this.nextMachineSlowness,
      faulty: this.nextMachineFaulty,
    });
    this.nextMachineFaulty = false;
    this.nextMachineSlowness = 1;
    return worker;
  }

  /** What the settings of a node say otherwise, from its next start on. */
  readonly overrides = new Map<string, Partial<PlatformSettings>>();

  /** The build that a node runs from its next start on, where it is not this one. */
  readonly builds: Map<string, Build>;

  /** The builds that the present processes run. */
  readonly startedWith = new Map<string, Build>();
  private readonly ungatedNow = new Set<string>();

  runsUngated(name: string): boolean {
    return this.ungatedNow.has(name);
  }

  /** How far a node's wall clock is off. */
  readonly wallSkewMs = new Map<string, number>();

  private peerMessageListener: (message: PeerMessage) => void = () => undefined;

  /** Shows each message that a controller sends to the others. */
  onPeerMessage(listener: (message: PeerMessage) => void): void {
    this.peerMessageListener = listener;
  }

  /** A broken invariant ends the run: what it logs in service would go unnoticed here. */
  private logOf(name: string): Log {
    return {
      ...quietLog,
      info: (fields, text) => this.config.log?.(name, text, fields),
      error: (fields, text) => {
        if (text === TEAM_USAGE_VIOLATION)
          throw new Error(`${name}: ${text}: ${JSON.stringify(fields)}`);
      },
    };
  }

  startNode(name: string): void {
    const process: Partial<NodeProcess> & SimulatedProcess = { alive: true, frozenUntil: 0 };
    const runtime = simulatedRuntime(`${name}:80`, process, {
      clock: this.clock,
      network: this.network,
      random: this.random,
      own: this.clock.host(this.random.between(1, 1.0005), () => process.alive),
      log: this.logOf(name),
      seen: this.ungated.has(name) ? responseToUngatedBuild : undefined,
    });
    const tell = (message: PeerMessage): void => {
      this.peerMessageListener(message);
      for (const [other, target] of this.processes)
        if (other !== name)
          this.network.sendOneWay(`${name}:80`, `${other}:80`, () => {
            if (target.alive && target.frozenUntil <= this.clock.time)
              target.node.handlePeerMessage(message);
          });
    };
    const operator = defaultOperatorSettings();
    const build = this.builds.get(name) ?? BUILD;
    this.startedWith.set(name, build);
    if (this.ungated.has(name)) this.ungatedNow.add(name);
    else this.ungatedNow.delete(name);
    const node = new ControllerNode({
      runtime,
      settings: { ...nodeSettings(name, this.nodeNames, this.config), ...this.overrides.get(name) },
      operator: {
        ...operator,
        duties: { ...operator.duties, ...this.config.duties },
        rollout: this.ungated.has(name)
          ? operator.rollout
          : { ...operator.rollout, ...this.config.rollout },
      },
      wallMs: () => 1e12 + this.clock.time + (this.wallSkewMs.get(name) ?? 0),
      broadcast: tell,
      build,
    });
    process.node = node;
    this.processes.set(name, process as NodeProcess);
    this.network.hosts.set(`${name}:80`, {
      handler: (method, path, body) => serveNode(node, method, path, body),
      hangsUntil: 0,
    });
    node.run();
  }

  crash(name: string, downMs: number): void {
    const process = this.processes.get(name)!;
    if (!process.alive) return;
    process.alive = false;
    this.network.hosts.get(`${name}:80`)!.handler = null;
    this.clock.after(downMs, () => {
      this.startNode(name);
    });
  }

  /** The process stands still while its clock runs on: what comes meanwhile waits, and is then seen all at once. */
  freeze(name: string, ms: number): void {
    const until = this.clock.time + ms;
    this.processes.get(name)!.frozenUntil = until;
    this.network.hosts.get(`${name}:80`)!.hangsUntil = until;
  }

  isNode(host: string): boolean {
    return this.nodeNames.some((name) => host === `${name}:80`);
  }

  node(name: string): ControllerNode {
    return this.processes.get(name)!.node;
  }

  isUp(name: string): boolean {
    return this.processes.get(name)!.alive;
  }

  healthy(name: string): boolean {
    return this.processes.get(name)!.node.health().kind === 'healthy';
  }

  private leads(name: string): boolean {
    const { alive, node } = this.processes.get(name)!;
    return alive && node.leadership.isLeader();
  }

  leader(): string | undefined {
    return this.nodeNames.find((name) => this.leads(name));
  }

  /** How many nodes think that they lead: never more than one. */
  leaders(): number {
    return this.nodeNames.filter((name) => this.leads(name)).length;
  }

  private fetching(): string[] {
    return [...this.cloud.machines.values()].flatMap(
      (machine) => machine.worker?.tasks.fetching() ?? [],
    );
  }

  /** The machines that are up, and what is free on each. */
  private machineRooms(): MachineRoom[] {
    const used = new Map<string, number>();
    for (const [task, places] of this.invariants.placesByTask)
      for (const place of places)
        used.set(place.machine, (used.get(place.machine) ?? 0) + this.invariants.cpusOf(task));
    return [...this.cloud.machines.values()]
      .filter((m) => m.worker && !m.worker.config.faulty)
      .map((m) => ({ ...m, machine: m.id, freeCpus: this.cpusOf(m) - (used.get(m.id) ?? 0) }));
  }

  async run(seconds: number): Promise<void> {
    let most = 0;
    await this.clock.runUntil(this.clock.time + seconds * 1000, () => {
      this.invariants.check();
      for (const check of this.checks) check();
      most = Math.max(most, this.leaders());
    });
    if (this.faultsEndedAt !== null) {
      this.invariants.checkAnswered(this.faultsEndedAt);
      this.invariants.checkWaiting(this.machineRooms(), this.fetching());
    }
    if (most > 1) this.invariants.recordViolation('two_leaders', String(most));
  }
}
