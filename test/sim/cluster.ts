/** A simulated cluster in virtual time: controllers (also called nodes), state service, cloud, workers and users. */
import type { Build } from '@millring/rollout';
import { BUILD } from '../../src/build.js';
import { DELETING_MACHINES } from '../../src/autoscaler/machine-deletion.js';
import { ControllerNode } from '../../src/node.js';
import { TEAM_USAGE_VIOLATION } from '../../src/placement/usage-audit.js';
import type { Log } from '../../src/runtime.js';
import { defaultOperatorSettings } from '../../src/settings/operator.js';
import type { PlatformSettings } from '../../src/settings/platform.js';
import { CloudService, type CloudMachine } from './cloud.js';
import {
  type ClusterConfig,
  type CompleteClusterConfig,
  TEAMS,
  completeConfig,
} from './cluster-config.js';
import { findType, rentableCapacities, runningCapacities } from './cluster-capacity.js';
import { ClusterFaults } from './cluster-faults.js';
import { VirtualClock } from './clock.js';
import { GangCoordinator } from './gang-coordinator.js';
import { Network } from './network.js';
import { serveNode } from './node-requests.js';
import { nodeSettings } from './node-settings.js';
import { type PeerProcess, PeerLinks } from './peer-links.js';
import { simulatedRuntime } from './simulated-runtime.js';
import { SeededRandom } from './random.js';
import { Invariants } from './invariants.js';
import { StateService } from './state-service.js';
import { Users } from './users.js';
import { Worker } from './worker.js';
import { quietLog } from './quiet-log.js';
import { responseToUngatedBuild } from './ungated-build.js';

/**
 * Connects controllers to the simulated services, workers and users. All random choices derive from the seed in the
 * configuration. Time advances only in `run`.
 */
export class Cluster {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly saveRandom: SeededRandom;
  readonly cancelMs: number;
  readonly network: Network;
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly invariants: Invariants;
  readonly gangs: GangCoordinator;
  readonly users: Users;
  readonly faults: ClusterFaults;
  readonly peerLinks: PeerLinks;
  readonly nodeNames: string[];
  readonly processes = new Map<string, PeerProcess>();
  /** Whether the next machine to boot is faulty. */
  nextMachineFaulty = false;
  /** Factor by which everything takes longer on the next machine to boot. */
  nextMachineSlowness = 1;
  /** Additional checks that run after each step. */
  readonly checks: (() => void)[] = [];
  /** Nodes that simulate, from their next start on, a build without feature levels; see `responseToUngatedBuild`. */
  readonly ungated = new Set<string>();
  /**
   * Virtual time, possibly in the future, by which the last fault has ended. Unless it is null, `run` also checks that
   * users get responses about their jobs and that waiting jobs start; waiting before this time is tolerated.
   */
  faultsEndedAt: number | null = null;

  private readonly config: CompleteClusterConfig;

  constructor(given: ClusterConfig) {
    const config = completeConfig(given);
    this.config = config;
    this.nodeNames = Array.from({ length: config.nodes }, (_, i) => `n${i}`);
    this.builds = new Map(Object.entries(config.builds));
    this.random = new SeededRandom(config.seed);
    this.saveRandom = new SeededRandom(config.seed);
    this.cancelMs = config.cancelMs;
    this.network = new Network(this.clock, this.random);
    this.gangs = new GangCoordinator(this.clock, this.random);
    this.invariants = new Invariants(
      () => this.clock.time,
      config.cancelMs,
      new Map(TEAMS.map((team) => [team, config.teamLimit])),
      config.reportMs,
    );
    this.peerLinks = new PeerLinks(this);
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

  private bootWorker(machine: CloudMachine): Worker {
    const { cpus, gpus, memoryGb } = findType(this.config.types, machine.type);
    const worker = new Worker(this.network, this.random, this.invariants, this.gangs, {
      id: machine.id,
      address: `w-${machine.id}:9000`,
      type: machine.type,
      cpus,
      gpus,
      memoryGb,
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

  /** Platform settings by node that replace the default ones from the node's next start on. */
  readonly overrides = new Map<string, Partial<PlatformSettings>>();

  /** Builds by node that run from the node's next start on; nodes that are missing run `BUILD`. */
  readonly builds: Map<string, Build>;

  /** The build that each node's current process runs. */
  readonly runningBuilds = new Map<string, Build>();
  private readonly runningUngated = new Set<string>();

  /** Whether the node's current process simulates a build without feature levels. */
  runsUngated(name: string): boolean {
    return this.runningUngated.has(name);
  }

  /** Offset of a node's wall clock, in milliseconds. */
  readonly wallSkewMs = new Map<string, number>();

  /** Returns a log that throws if a controller logs a violation of the team usage invariant, so that the run fails. */
  private logOf(name: string): Log {
    return {
      ...quietLog,
      info: (fields, text) => {
        this.checkReturned(text, fields);
        this.config.log?.(name, text, fields);
      },
      error: (fields, text) => {
        if (text === TEAM_USAGE_VIOLATION)
          throw new Error(`${name}: ${text}: ${JSON.stringify(fields)}`);
      },
    };
  }

  private checkReturned(text: string, fields: object): void {
    if (text !== DELETING_MACHINES || !('purpose' in fields) || fields.purpose !== 'return') return;
    if ('ids' in fields) this.invariants.checkReturned(fields.ids as string[]);
  }

  startNode(name: string): void {
    const process = { name, alive: true, frozenUntil: 0 };
    const processClock = this.clock.processClock(
      this.random.between(1, 1.0005),
      () => process.alive,
    );
    const runtime = simulatedRuntime(`${name}:80`, process, {
      clock: this.clock,
      network: this.network,
      random: this.random,
      processClock,
      log: this.logOf(name),
      alterResponse: this.ungated.has(name) ? responseToUngatedBuild : undefined,
    });
    const operator = defaultOperatorSettings();
    const build = this.builds.get(name) ?? BUILD;
    this.runningBuilds.set(name, build);
    if (this.ungated.has(name)) this.runningUngated.add(name);
    else this.runningUngated.delete(name);
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
      peers: this.peerLinks.sender(name),
      build,
    });
    const started = Object.assign(process, { node, processClock });
    this.processes.set(name, started);
    this.peerLinks.connect(started);
    this.network.hosts.set(`${name}:80`, {
      handler: (method, path, body) => serveNode(node, method, path, body),
      hangsUntil: 0,
    });
    node.run();
  }

  /** Ends the node's process and starts a new one after `downMs`; does nothing if the process is already down. */
  crash(name: string, downMs: number): void {
    const process = this.processes.get(name)!;
    if (!process.alive) return;
    process.alive = false;
    this.network.hosts.get(`${name}:80`)!.handler = null;
    this.clock.after(downMs, () => {
      this.startNode(name);
    });
  }

  /** Suspends the process while its clock continues; messages that arrive meanwhile are all processed on resumption. */
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

  isHealthy(name: string): boolean {
    return this.processes.get(name)!.node.health().kind === 'healthy';
  }

  private isLeading(name: string): boolean {
    const { alive, node } = this.processes.get(name)!;
    return alive && node.leadership.isLeader();
  }

  leader(): string | undefined {
    return this.nodeNames.find((name) => this.isLeading(name));
  }

  /** Returns the number of nodes that consider themselves the leader; it must never exceed one. */
  countLeaders(): number {
    return this.nodeNames.filter((name) => this.isLeading(name)).length;
  }

  /** Returns the tasks that workers have accepted but not started, because they still fetch their images. */
  private fetching(): string[] {
    return [...this.cloud.machines.values()].flatMap(
      (machine) => machine.worker?.tasks.fetching() ?? [],
    );
  }

  /** Runs the cluster for this virtual time, checking the invariants after each step. */
  async run(seconds: number): Promise<void> {
    let maxLeaders = 0;
    await this.clock.runUntil(this.clock.time + seconds * 1000, () => {
      this.invariants.check();
      for (const check of this.checks) check();
      maxLeaders = Math.max(maxLeaders, this.countLeaders());
    });
    if (this.faultsEndedAt !== null) {
      this.invariants.checkResponded(this.faultsEndedAt);
      const { cloud, invariants, config } = this;
      const running = runningCapacities(cloud, invariants, config.types);
      const rentable = rentableCapacities(cloud, config.types);
      invariants.checkWaiting(running, rentable, this.fetching());
    }
    if (maxLeaders > 1) this.invariants.recordViolation('two_leaders', String(maxLeaders));
  }
}
