/** Three controllers as real processes, started with the run command of the deploy file, beside the stand-ins. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { parse } from 'smol-toml';
import { killAndWait } from '../../test/sim/child-process.js';
import { freePort } from '../../test/sim/loopback-server.js';
import { LoopbackServices } from '../../test/sim/loopback-services.js';
import { type JobSubmission } from '../../test/sim/wire/users.js';
import { PeerLink } from './peer-link.js';
import { Recorder } from './recorder.js';
import { type ControllerPlace, type Site, settingsText } from './settings.js';

export const TEAMS = ['ops-dukaan-00', 'ops-dukaan-01'];
/** Names and zones of the controllers; the stand-ins have machines in these two zones. */
const PLACES = [
  { name: 'millstone-0', zone: 'a' },
  { name: 'millstone-1', zone: 'b' },
  { name: 'millstone-2', zone: 'a' },
];
const ZONES = ['a', 'b'];

interface Controller extends ControllerPlace {
  process: ChildProcess | null;
  startedAt: number;
}

/** The run command of the deploy file, without the path of the settings file. */
function runCommand(): string[] {
  const deploy = parse(readFileSync('deploy/service.toml', 'utf8'));
  if (typeof deploy.run !== 'string') throw new Error('no run command');
  return deploy.run.split(' ');
}

export class Deployment {
  private readonly directory = mkdtempSync(join(tmpdir(), 'millring-review-'));
  private readonly links = new Map<string, PeerLink>();
  private readonly linkAddresses = new Map<string, string>();

  private constructor(
    readonly controllers: Controller[],
    readonly services: LoopbackServices,
    readonly recorder: Recorder,
    private readonly site: Site,
  ) {}

  /** Starts the stand-ins, with `machinesPerZone` ordinary machines that are up in each zone. */
  static async open(recordPath: string, machinesPerZone: number, site: Site): Promise<Deployment> {
    const controllers: Controller[] = [];
    for (const place of PLACES)
      controllers.push({
        ...place,
        address: `127.0.0.1:${await freePort()}`,
        peerAddress: `127.0.0.1:${await freePort()}`,
        process: null,
        startedAt: 0,
      });
    const services = new LoopbackServices({
      seed: 1,
      controllers,
      machinesPerPool: machinesPerZone,
      reportMs: site.reportS * 1000,
      leaseMs: site.leaseS * 1000,
      cancelMs: site.cancelS * 1000,
      limits: new Map(TEAMS.map((team) => [team, site.cpusMax])),
      throughNetwork: true,
    });
    const recorder = new Recorder(recordPath, services, controllers);
    const deployment = new Deployment(controllers, services, recorder, site);
    await services.start();
    for (const zone of ZONES)
      for (let i = 0; i < machinesPerZone; i++) services.cloud.add('t16', zone, false, true);
    await deployment.openLinks();
    return deployment;
  }

  private async openLinks(): Promise<void> {
    for (const from of this.controllers)
      for (const to of this.controllers) {
        if (from === to) continue;
        const port = await freePort();
        const key = `${from.name}>${to.name}`;
        this.links.set(key, await PeerLink.listen(port, to.peerAddress));
        this.linkAddresses.set(key, `127.0.0.1:${port}`);
      }
  }

  controller(name: string): Controller {
    const found = this.controllers.find((controller) => controller.name === name);
    if (!found) throw new Error(`no controller ${name}`);
    return found;
  }

  link(from: string, to: string): PeerLink {
    const found = this.links.get(`${from}>${to}`);
    if (!found) throw new Error(`no link ${from}>${to}`);
    return found;
  }

  /** Starts the controller's process with the run command of the deploy file. */
  start(name: string): void {
    const controller = this.controller(name);
    const path = join(this.directory, `${name}.toml`);
    const reachedBy = (other: Controller): ControllerPlace => ({
      ...other,
      peerAddress: this.linkAddresses.get(`${name}>${other.name}`) ?? other.peerAddress,
    });
    writeFileSync(
      path,
      settingsText({
        self: controller,
        others: this.controllers.filter((other) => other !== controller).map(reachedBy),
        stateAddress: this.services.stateAddressOf(name),
        cloudAddress: this.services.cloudAddressOf(name),
        zones: ZONES,
        teams: TEAMS,
        site: this.site,
      }),
    );
    const [program, ...args] = runCommand();
    const child = spawn(program, [...args, path], {
      env: { ...process.env, LOG_LEVEL: 'info' },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    child.stderr.pipe(createWriteStream(this.logPath(name), { flags: 'a' }));
    controller.process = child;
    controller.startedAt = performance.now();
    this.recorder.note(`start ${name}`);
  }

  private logPath(name: string): string {
    return join(this.directory, `${name}.log`);
  }

  async kill(name: string): Promise<void> {
    const controller = this.controller(name);
    this.recorder.note(`kill ${name}`);
    if (controller.process) await killAndWait(controller.process);
    controller.process = null;
  }

  upMs(name: string): number {
    return performance.now() - this.controller(name).startedAt;
  }

  /** Cuts a zone off from everything for `forMs`: its machines and controllers, also from state service and cloud. */
  cutOffZone(zone: string, forMs: number): void {
    const { network, clock } = this.services;
    network.partitions.push({
      a: (host) => this.zoneOf(host) === zone,
      b: (host) => this.zoneOf(host) !== zone,
      until: clock.time + forMs,
      mode: 'reset',
    });
    this.setPeersCut(true);
    setTimeout(() => {
      this.recorder.note(`zone ${zone} is reached again`);
      this.setPeersCut(false);
    }, forMs);
    this.recorder.note(`zone ${zone} is cut off from everything for ${forMs} ms`);
  }

  private setPeersCut(isCut: boolean): void {
    for (const from of this.controllers)
      for (const to of this.controllers)
        if (from.zone !== to.zone) this.link(from.name, to.name).setCut(isCut);
  }

  private zoneOf(host: string): string | null {
    const controller = this.controllers.find(({ address }) => address === host);
    if (controller) return controller.zone;
    for (const { worker, zone } of this.services.cloud.machines.values())
      if (worker?.config.address === host) return zone;
    return null;
  }

  /** The zones of the machines on which the job's tasks are, by task. */
  zonesOfTasks(): Map<string, string> {
    const zones = new Map<string, string>();
    for (const [task, places] of this.services.invariants.placesByTask)
      zones.set(task, places.map(({ zone }) => zone).join('+'));
    return zones;
  }

  async isHealthy(name: string): Promise<boolean> {
    try {
      const response = await fetch(`http://${this.controller(name).address}/healthz`);
      await response.text();
      return response.status === 200;
    } catch {
      return false;
    }
  }

  /** Ends all processes at once, when the case itself is ended. */
  endProcesses(): void {
    for (const { process: child } of this.controllers) child?.kill('SIGKILL');
  }

  /** Ends all processes, and writes their logs and what was seen into the record. */
  async stop(): Promise<void> {
    for (const { process: child } of this.controllers) if (child) await killAndWait(child);
    for (const link of this.links.values()) link.close();
    this.services.stop();
    for (const { name } of this.controllers)
      this.recorder.addLog(name, readFileSync(this.logPath(name), 'utf8'));
    this.recorder.close();
    rmSync(this.directory, { recursive: true });
  }
}

/** An array job that may run on any machine. */
export function arrayJob(number: number, overrides: Partial<JobSubmission>): JobSubmission {
  return {
    id: `run-${String(number).padStart(6, '0')}`,
    jobClass: 'stock-match',
    team: TEAMS[0],
    kind: 'array',
    priority: 'normal',
    tasks: 2,
    cpus: 2,
    gpus: 0,
    memoryGb: 3.4,
    image: 'img-1',
    imageGb: 0.2,
    machineTypes: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    durationS: 40,
    checkpointIntervalS: 0,
    saveS: 0,
    deadlineS: null,
    ...overrides,
  };
}
