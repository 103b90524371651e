/** Three controllers, started with the run command of the deploy file, and the services that they use. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { killAndWait } from '../../test/sim/child-process.js';
import { LoopbackServices } from '../../test/sim/loopback-services.js';
import { Link, type LinkMode } from './link.js';
import { freePort } from './ports.js';
import { type ControllerPlace, type Site, settingsText } from './settings.js';

const NAMES = ['millstone-0', 'millstone-1', 'millstone-2'];
const ZONES = ['a', 'b', 'a'];
const HEALTHY_TIMEOUT_MS = 15_000;

interface Controller extends ControllerPlace {
  process: ChildProcess | null;
}

/** Returns program and arguments of the run command; the path of a settings file is to be appended. */
function runCommand(): string[] {
  const text = readFileSync('deploy/service.toml', 'utf8');
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error('deploy/service.toml has no run command');
  return command.split(' ');
}

/** The processes and services of one run. `stop` ends all of them. */
export class Deployment {
  private readonly folder = mkdtempSync(join(tmpdir(), 'millring-review-'));
  private readonly links = new Map<string, Link>();
  private stopping = false;

  private constructor(
    private readonly site: Site,
    readonly controllers: Controller[],
    readonly services: LoopbackServices,
  ) {}

  /** Starts the services; the controllers are started by `startController`. */
  static async start(site: Site, machinesPerPool: number): Promise<Deployment> {
    const controllers: Controller[] = [];
    for (const [index, name] of NAMES.entries()) {
      const address = `127.0.0.1:${await freePort()}`;
      const peerAddress = `127.0.0.1:${await freePort()}`;
      controllers.push({ name, zone: ZONES[index], address, peerAddress, process: null });
    }
    const services = new LoopbackServices({
      seed: 1,
      controllers,
      machinesPerPool,
      reportMs: site.reportS * 1000,
      leaseMs: site.leaseS * 1000,
      cancelMs: site.cancelS * 1000,
      limits: new Map(site.cpusMax > 0 ? [[site.team, site.cpusMax]] : []),
      throughNetwork: true,
    });
    await services.start();
    const deployment = new Deployment(site, controllers, services);
    for (const from of controllers)
      for (const to of controllers) if (from !== to) await deployment.openLink(from, to);
    return deployment;
  }

  private async openLink(from: Controller, to: Controller): Promise<void> {
    const link = await Link.open(to.peerAddress);
    this.links.set(`${from.name}>${to.name}`, link);
  }

  private named(name: string): Controller {
    const found = this.controllers.find((controller) => controller.name === name);
    if (!found) throw new Error(`no controller ${name}`);
    return found;
  }

  /** Starts the controller's process with the run command of the deploy file. */
  startController(name: string): void {
    const controller = this.named(name);
    const others = this.controllers
      .filter((other) => other !== controller)
      .map((other) => ({
        ...other,
        peerAddress: this.links.get(`${name}>${other.name}`)?.address ?? other.peerAddress,
      }));
    const outside = {
      cloud: this.services.cloudAddressOf(name),
      state: this.services.stateAddressOf(name),
    };
    const path = join(this.folder, `${name}.toml`);
    writeFileSync(path, settingsText(this.site, controller, others, outside));
    const [program, ...args] = [...runCommand(), path];
    controller.process = spawn(program, args, { stdio: 'ignore' });
  }

  async startAll(): Promise<void> {
    for (const { name } of this.controllers) this.startController(name);
    for (const { name } of this.controllers) await this.untilHealthy(name);
  }

  private async isHealthy(name: string): Promise<boolean> {
    try {
      return (await fetch(`http://${this.named(name).address}/healthz`)).status === 200;
    } catch {
      return false;
    }
  }

  async untilHealthy(name: string): Promise<void> {
    const deadline = performance.now() + HEALTHY_TIMEOUT_MS;
    while (!(await this.isHealthy(name))) {
      if (performance.now() > deadline) throw new Error(`${name} is not healthy`);
      await delay(100);
    }
  }

  /** Holds or resets what the controllers of the zones `a` and `b` send each other. */
  cutBetweenZones(mode: LinkMode | null): void {
    for (const from of this.controllers)
      for (const to of this.controllers)
        if (from.zone !== to.zone) this.links.get(`${from.name}>${to.name}`)?.setMode(mode);
  }

  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    for (const { process: child } of this.controllers) if (child) await killAndWait(child);
    for (const link of this.links.values()) link.close();
    this.services.stop();
    rmSync(this.folder, { recursive: true });
  }
}
