/**
 * Controllers as real processes on loopback, connected to each other and to the simulated services through links that
 * can be interrupted.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { LinkMode } from './fault-schedule.js';
import { killAndWait } from '../sim/child-process.js';
import { GANG_PEER_MS, GANG_WAIT_MS } from '../sim/gang-coordinator.js';
import { LoopbackServices } from '../sim/loopback-services.js';
import { freePort } from '../sim/loopback-server.js';
import { type ControllerAddresses, settingsToml } from '../sim/platform-settings.js';
import { PeerRelay } from './peer-relay.js';

/** Size of a run. */
export interface SoakSize {
  /** Number of ordinary machines, and also of spot machines, in each of the two zones. */
  machinesPerPool: number;
  /** Number of CPUs that each team may use. */
  teamLimit: number;
  reportS: number;
  leaseS: number;
  cancelS: number;
}

export const TEAMS = ['t0', 't1'];
export const CONTROLLER_NAMES = ['n0', 'n1', 'n2'];
const ZONES = ['a', 'b', 'a'];
const LEADER_LEASE_MS = 1500;
const GUARANTEED_CPUS = 8;

interface Controller extends ControllerAddresses {
  process: ChildProcess | null;
}

/** Three controllers and the simulated services; `stop` ends them all. */
export class SoakDeployment {
  private readonly directory = mkdtempSync(join(tmpdir(), 'millring-soak-'));
  private readonly relays = new Map<string, PeerRelay>();
  private stopping = false;

  private constructor(
    private readonly program: string,
    private readonly size: SoakSize,
    private readonly controllers: Controller[],
    readonly services: LoopbackServices,
  ) {}

  static async start(program: string, seed: number, size: SoakSize): Promise<SoakDeployment> {
    const controllers: Controller[] = [];
    for (const [index, name] of CONTROLLER_NAMES.entries())
      controllers.push({
        name,
        zone: ZONES[index],
        address: `127.0.0.1:${await freePort()}`,
        peerAddress: `127.0.0.1:${await freePort()}`,
        process: null,
      });
    const services = new LoopbackServices({
      seed,
      controllers,
      machinesPerPool: size.machinesPerPool,
      reportMs: size.reportS * 1000,
      leaseMs: size.leaseS * 1000,
      cancelMs: size.cancelS * 1000,
      limits: new Map(TEAMS.map((team) => [team, size.teamLimit])),
      throughNetwork: true,
    });
    const deployment = new SoakDeployment(program, size, controllers, services);
    await deployment.open();
    return deployment;
  }

  private async open(): Promise<void> {
    await this.services.start();
    for (const from of this.controllers)
      for (const to of this.controllers) if (from !== to) await this.openRelay(from, to);
    writeFileSync(
      join(this.directory, 'operator.json'),
      JSON.stringify({ leader_lease_ms: LEADER_LEASE_MS }),
    );
    for (const controller of this.controllers) {
      writeFileSync(this.settingsPathOf(controller), this.settingsTextOf(controller));
      this.spawn(controller);
    }
  }

  private async openRelay(from: Controller, to: Controller): Promise<void> {
    const port = await freePort();
    this.relays.set(`${from.name}>${to.name}`, await PeerRelay.listen(to.peerAddress, port));
    this.relayAddresses.set(`${from.name}>${to.name}`, `127.0.0.1:${port}`);
  }

  private readonly relayAddresses = new Map<string, string>();

  private settingsPathOf({ name }: Controller): string {
    return join(this.directory, `${name}.toml`);
  }

  private settingsTextOf(controller: Controller): string {
    const { reportS, leaseS, cancelS, teamLimit } = this.size;
    const viaRelay = (other: Controller): ControllerAddresses => {
      const relay = this.relayAddresses.get(`${controller.name}>${other.name}`);
      return { ...other, peerAddress: relay ?? other.peerAddress };
    };
    return settingsToml({
      self: controller,
      others: this.controllers.filter((other) => other !== controller).map(viaRelay),
      stateAddress: this.services.stateAddressOf(controller.name),
      cloudAddress: this.services.cloudAddressOf(controller.name),
      teams: TEAMS.map((name) => ({ name, cpus: GUARANTEED_CPUS, cpusMax: teamLimit })),
      reportS,
      leaseS,
      cancelS,
      gangWaitS: GANG_WAIT_MS / 1000,
      gangPeerS: GANG_PEER_MS / 1000,
      listLagS: 2,
    });
  }

  private logPathOf({ name }: Controller): string {
    return join(this.directory, `${name}.log`);
  }

  /** Log of each controller, over all its processes. */
  logs(): { name: string; text: string }[] {
    return this.controllers.map((controller) => ({
      name: controller.name,
      text: readFileSync(this.logPathOf(controller), 'utf8'),
    }));
  }

  private spawn(controller: Controller): void {
    const args = [this.program, '--operator', join(this.directory, 'operator.json')];
    const child = spawn(process.execPath, [...args, '--config', this.settingsPathOf(controller)], {
      env: { ...process.env, LOG_LEVEL: 'info' },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    child.stderr.pipe(createWriteStream(this.logPathOf(controller), { flags: 'a' }));
    controller.process = child;
  }

  /** Kills the process with SIGKILL, which it cannot handle, and starts a new one `downMs` after its exit. */
  async kill(name: string, downMs: number): Promise<void> {
    const controller = this.controllerNamed(name);
    const child = controller.process;
    if (!child) return;
    controller.process = null;
    await killAndWait(child);
    setTimeout(() => {
      if (!this.stopping) this.spawn(controller);
    }, downMs);
  }

  /** Suspends the process with SIGSTOP for `forMs`, while its clocks continue. */
  pause(name: string, forMs: number): void {
    const child = this.controllerNamed(name).process;
    child?.kill('SIGSTOP');
    setTimeout(() => child?.kill('SIGCONT'), forMs);
  }

  interruptPeerLinks(name: string, mode: LinkMode, forMs: number): void {
    for (const [link, relay] of this.relays)
      if (link.split('>').includes(name)) relay.interrupt(mode, forMs);
  }

  addressOf(name: string): string {
    return this.controllerNamed(name).address;
  }

  /** Names of the controllers whose process exited although it was not killed. */
  unexpectedExits(): string[] {
    return this.controllers
      .filter(({ process: child }) => child !== null && child.exitCode !== null)
      .map(({ name }) => name);
  }

  private controllerNamed(name: string): Controller {
    const controller = this.controllers.find((candidate) => candidate.name === name);
    if (!controller) throw new Error(`no controller ${name}`);
    return controller;
  }

  async stop(): Promise<void> {
    this.stopping = true;
    for (const { process: child } of this.controllers) if (child) await killAndWait(child);
    for (const relay of this.relays.values()) relay.close();
    this.services.stop();
    rmSync(this.directory, { recursive: true });
  }
}
