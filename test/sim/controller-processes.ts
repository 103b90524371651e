/** Controllers as real processes on loopback, running builds that declare different feature levels. */
import assert from 'node:assert/strict';
import { type ChildProcess, execFile, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { DutySettings } from '@millring/duties';
import type { RolloutSettings } from '@millring/rollout';
import { type BuildName, bundleBuilds } from './controller-builds.js';
import { killAndWait } from './child-process.js';
import { GANG_PEER_MS, GANG_WAIT_MS } from './gang-coordinator.js';
import { LoopbackServices } from './loopback-services.js';
import { freePort } from './loopback-server.js';
import { type ControllerAddresses, settingsToml } from './platform-settings.js';
import { ProcessUsers } from './process-users.js';
import { waitUntil } from './wait-until.js';

const NAMES = ['n0', 'n1', 'n2'];
const TEAM = 'research';
const TEAM_LIMIT = 200;
const REPORT_S = 0.5;
/** Longer than a busy machine may stall, so that no worker loses its lease because of a stall. */
const LEASE_S = 30;
const CANCEL_S = 60;
/** Exit code and output of a command. */
export interface CommandResult {
  code: number;
  stdout: string;
  stderr: string;
}

interface Controller extends ControllerAddresses {
  process: ChildProcess | null;
}

/** Three controllers, the simulated services that they use, and their users. `stop` stops them all. */
export class ControllerProcesses {
  private readonly directory = mkdtempSync(join(tmpdir(), 'millring-'));
  private bundles = new Map<BuildName, string>();
  private readonly controllers: Controller[] = [];
  services!: LoopbackServices;
  users!: ProcessUsers;

  /** Starts everything with one build. `rollout` and `duties` are settings as in the operators' file. */
  async start(
    build: BuildName,
    rollout: Partial<RolloutSettings>,
    duties: Partial<DutySettings> = {},
  ): Promise<void> {
    this.bundles = await bundleBuilds(this.directory);
    for (const name of NAMES)
      this.controllers.push({
        name,
        zone: 'a',
        address: `127.0.0.1:${await freePort()}`,
        peerAddress: `127.0.0.1:${await freePort()}`,
        process: null,
      });
    this.services = new LoopbackServices({
      seed: 1,
      controllers: this.controllers,
      machinesPerPool: 3,
      reportMs: REPORT_S * 1000,
      leaseMs: LEASE_S * 1000,
      cancelMs: CANCEL_S * 1000,
      limits: new Map([[TEAM, TEAM_LIMIT]]),
    });
    await this.services.start();
    this.users = new ProcessUsers(this.services, this.controllers, TEAM);
    writeFileSync(join(this.directory, 'operator.json'), JSON.stringify({ rollout, duties }));
    for (const controller of this.controllers) {
      writeFileSync(this.settingsPathOf(controller.name), this.settingsTextOf(controller));
      this.spawn(controller, build);
    }
    for (const name of NAMES) await this.untilHealthy(name);
  }

  private settingsPathOf(name: string): string {
    return join(this.directory, `${name}.toml`);
  }

  private settingsTextOf(controller: Controller): string {
    return settingsToml({
      self: controller,
      others: this.controllers.filter((other) => other !== controller),
      stateAddress: this.services.stateAddress,
      cloudAddress: this.services.cloudAddress,
      teams: [{ name: TEAM, cpus: 16, cpusMax: TEAM_LIMIT }],
      reportS: REPORT_S,
      leaseS: LEASE_S,
      cancelS: CANCEL_S,
      gangWaitS: GANG_WAIT_MS / 1000,
      gangPeerS: GANG_PEER_MS / 1000,
      listLagS: 1,
    });
  }

  private controllerNamed(name: string): Controller {
    return this.controllers.find((controller) => controller.name === name) ?? assert.fail(name);
  }

  private spawn(controller: Controller, build: BuildName): void {
    const args = [this.bundles.get(build)!, '--operator', join(this.directory, 'operator.json')];
    controller.process = spawn(
      process.execPath,
      [...args, '--config', this.settingsPathOf(controller.name)],
      {
        env: { ...process.env, LOG_LEVEL: 'error' },
        stdio: 'ignore',
      },
    );
  }

  /** Suspends or continues the process, which is not notified. */
  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.controllerNamed(name).process?.kill(signal);
  }

  /** Kills the process with SIGKILL, which it can't handle, and starts the given build. */
  async replace(name: string, build: BuildName): Promise<void> {
    const controller = this.controllerNamed(name);
    if (controller.process) await killAndWait(controller.process);
    this.spawn(controller, build);
  }

  async stop(): Promise<void> {
    this.users.stop();
    for (const { process: child } of this.controllers) if (child) await killAndWait(child);
    this.services.stop();
    rmSync(this.directory, { recursive: true });
  }

  until(description: string, condition: () => Promise<boolean> | boolean): Promise<void> {
    return waitUntil(description, condition);
  }

  async health(name: string): Promise<{ status: number; text: string }> {
    try {
      const response = await fetch(`http://${this.controllerNamed(name).address}/healthz`);
      return { status: response.status, text: await response.text() };
    } catch {
      return { status: 0, text: '' };
    }
  }

  untilHealthy(name: string): Promise<void> {
    return this.until(`${name} is healthy`, async () => (await this.health(name)).status === 200);
  }

  /** Runs `millring rollout ...` of the build `new`, with the settings of a controller. */
  runRolloutCommand(name: string, ...args: string[]): Promise<CommandResult> {
    return this.command('new', name, ['rollout', ...args]);
  }

  /** Runs `millring duties ...` of the build `latest`, with the settings of a controller. */
  runDutiesCommand(name: string, ...args: string[]): Promise<CommandResult> {
    return this.command('latest', name, ['duties', ...args]);
  }

  private command(build: BuildName, name: string, args: string[]): Promise<CommandResult> {
    const bundle = this.bundles.get(build)!;
    const settings = [
      '--operator',
      join(this.directory, 'operator.json'),
      '--config',
      this.settingsPathOf(name),
    ];
    return new Promise((done) => {
      execFile(process.execPath, [bundle, ...args, ...settings], (error, stdout, stderr) => {
        done({ code: error ? Number(error.code) : 0, stdout, stderr });
      });
    });
  }

  /** The stored feature level of the cluster, or the initial level if none is stored. */
  get level(): { state: string; active: number } {
    const stored = this.services.state.value('rollout/level') as
      { state: string; active: number } | undefined;
    return stored ?? { state: 'stable', active: 1 };
  }
}
