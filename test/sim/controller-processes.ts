/** Controllers as real processes on loopback, of builds that differ in the levels that they declare. */
import assert from 'node:assert/strict';
import { type ChildProcess, execFile, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import type { DutySettings } from '@millring/duties';
import type { RolloutSettings } from '@millring/rollout';
import { bundleController } from './controller-program.js';
import { GANG_PEER_MS, GANG_WAIT_MS } from './gang-coordinator.js';
import { LoopbackStandIns, freePort } from './loopback.js';
import { type ControllerAddresses, settingsFile } from './platform-settings.js';
import { jobFacts } from './rules.js';
import {
  type JobSubmission,
  type UserRequest,
  decodeJobReply,
  pollRequest,
  submitRequest,
} from './wire/users.js';

const NAMES = ['n0', 'n1', 'n2'];
/** No test asks how fast anything is: whoever waits for longer than this has a fault, not a slow machine. */
const PATIENCE_MS = 180_000;
const TEAM = 'research';
const TEAM_LIMIT = 200;
const REPORT_S = 0.5;
/** Longer than a busy machine may stand still, so that no worker loses its lease for that. */
const LEASE_S = 30;
const CANCEL_S = 60;
const DECLARED = 'export const BUILD: Build =';

export type BuildName = 'old' | 'new' | 'latest';

/** What the builds declare of themselves, whatever this program declares. */
const DECLARATIONS: Record<BuildName, string> = {
  old: "{ version: '0.0.9', reads: { from: 1, to: 1 }, writes: 1 }",
  new: '{ version: manifest.version, reads: { from: 1, to: 2 }, writes: 2 }',
  latest: '{ version: manifest.version, reads: { from: 1, to: 3 }, writes: 3 }',
};

export interface CommandResult {
  code: number;
  stdout: string;
  stderr: string;
}

interface Controller extends ControllerAddresses {
  process: ChildProcess | null;
}

/** The program as a single file that declares the levels of the named build. */
async function bundleAs(name: BuildName, directory: string): Promise<string> {
  const outfile = join(directory, `${name}.cjs`);
  const source = readFileSync('src/build.ts', 'utf8');
  assert.ok(source.includes(DECLARED));
  const declared = `${DECLARED} ${DECLARATIONS[name]};\nconst _REPLACED: Build =`;
  await bundleController(outfile, [
    {
      name: 'build',
      setup: (setup) => {
        setup.onLoad({ filter: /src[/\\]build\.ts$/ }, () => ({
          contents: source.replace(DECLARED, declared),
          loader: 'ts',
        }));
      },
    },
  ]);
  return outfile;
}

export class ControllerProcesses {
  private readonly directory = mkdtempSync(join(tmpdir(), 'millring-'));
  private readonly bundles = new Map<BuildName, string>();
  private readonly controllers: Controller[] = [];
  private nextJob = 1;
  private openUsers = 0;
  private streaming = false;
  /** Of each accepted submission, from its first attempt on, in milliseconds. */
  readonly latenciesMs: number[] = [];
  /** Attempts that were not accepted. */
  refused = 0;
  standIns!: LoopbackStandIns;

  /** `rollout` and `duties`: as in the operators' file. */
  async start(
    build: BuildName,
    rollout: Partial<RolloutSettings>,
    duties: Partial<DutySettings> = {},
  ): Promise<void> {
    for (const name of ['old', 'new', 'latest'] as const)
      this.bundles.set(name, await bundleAs(name, this.directory));
    for (const name of NAMES)
      this.controllers.push({
        name,
        zone: 'a',
        address: `127.0.0.1:${await freePort()}`,
        peerAddress: `127.0.0.1:${await freePort()}`,
        process: null,
      });
    this.standIns = new LoopbackStandIns({
      seed: 1,
      controllers: this.controllers,
      machinesPerPool: 3,
      reportMs: REPORT_S * 1000,
      leaseMs: LEASE_S * 1000,
      cancelMs: CANCEL_S * 1000,
      limits: new Map([[TEAM, TEAM_LIMIT]]),
    });
    await this.standIns.start();
    writeFileSync(join(this.directory, 'operator.json'), JSON.stringify({ rollout, duties }));
    for (const controller of this.controllers) {
      writeFileSync(this.configOf(controller.name), this.settingsOf(controller));
      this.spawn(controller, build);
    }
    for (const name of NAMES) await this.untilHealthy(name);
  }

  private configOf(name: string): string {
    return join(this.directory, `${name}.toml`);
  }

  private settingsOf(controller: Controller): string {
    return settingsFile({
      self: controller,
      others: this.controllers.filter((other) => other !== controller),
      stateAddress: this.standIns.stateAddress,
      cloudAddress: this.standIns.cloudAddress,
      teams: [{ name: TEAM, cpus: 16, cpusMax: TEAM_LIMIT }],
      reportS: REPORT_S,
      leaseS: LEASE_S,
      cancelS: CANCEL_S,
      gangWaitS: GANG_WAIT_MS / 1000,
      gangPeerS: GANG_PEER_MS / 1000,
      listLagS: 1,
    });
  }

  private named(name: string): Controller {
    return this.controllers.find((controller) => controller.name === name) ?? assert.fail(name);
  }

  private spawn(controller: Controller, build: BuildName): void {
    const args = [this.bundles.get(build)!, '--operator', join(this.directory, 'operator.json')];
    controller.process = spawn(
      process.execPath,
      [...args, '--config', this.configOf(controller.name)],
      {
        env: { ...process.env, LOG_LEVEL: 'error' },
        stdio: 'ignore',
      },
    );
  }

  /** Stops or continues the process, which does not notice. */
  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.named(name).process?.kill(signal);
  }

  /** Ends the process without a signal that it could answer, and starts the other build. */
  async replace(name: string, build: BuildName): Promise<void> {
    const controller = this.named(name);
    await this.end(controller);
    this.spawn(controller, build);
  }

  private async end(controller: Controller): Promise<void> {
    const { process: child } = controller;
    if (!child || child.exitCode !== null) return;
    const ended = new Promise((done) => child.once('exit', done));
    child.kill('SIGKILL');
    await ended;
  }

  async stop(): Promise<void> {
    this.streaming = false;
    for (const controller of this.controllers) await this.end(controller);
    this.standIns.stop();
    rmSync(this.directory, { recursive: true });
  }

  async until(what: string, holds: () => Promise<boolean> | boolean): Promise<void> {
    const end = performance.now() + PATIENCE_MS;
    while (performance.now() < end) {
      if (await holds()) return;
      await delay(50);
    }
    assert.fail(`in vain: ${what}`);
  }

  async health(name: string): Promise<{ status: number; text: string }> {
    try {
      const response = await fetch(`http://${this.named(name).address}/healthz`);
      return { status: response.status, text: await response.text() };
    } catch {
      return { status: 0, text: '' };
    }
  }

  untilHealthy(name: string): Promise<void> {
    return this.until(`${name} is healthy`, async () => (await this.health(name)).status === 200);
  }

  /** `millring rollout ...`, with the settings of a controller. */
  rollout(name: string, ...args: string[]): Promise<CommandResult> {
    return this.command('new', name, ['rollout', ...args]);
  }

  /** `millring duties ...`, with the settings of a controller. */
  duties(name: string, ...args: string[]): Promise<CommandResult> {
    return this.command('latest', name, ['duties', ...args]);
  }

  private command(build: BuildName, name: string, args: string[]): Promise<CommandResult> {
    const bundle = this.bundles.get(build)!;
    const settings = [
      '--operator',
      join(this.directory, 'operator.json'),
      '--config',
      this.configOf(name),
    ];
    return new Promise((done) => {
      execFile(process.execPath, [bundle, ...args, ...settings], (error, stdout, stderr) => {
        done({ code: error ? Number(error.code) : 0, stdout, stderr });
      });
    });
  }

  /** What is stored of the cluster level. */
  get level(): { state: string; active: number } {
    const stored = this.standIns.state.value('rollout/level') as
      { state: string; active: number } | undefined;
    return stored ?? { state: 'stable', active: 1 };
  }

  newJob(over: Partial<JobSubmission> = {}): JobSubmission {
    return {
      id: `run-${String(this.nextJob++).padStart(6, '0')}`,
      jobClass: 'batch',
      team: TEAM,
      kind: 'array',
      priority: 'normal',
      tasks: 4,
      cpus: 2,
      gpus: 0,
      memoryGb: 2,
      image: 'img-1',
      imageGb: 0.2,
      machineTypes: null,
      zone: null,
      oneZone: false,
      spread: false,
      spot: true,
      durationS: 1,
      checkpointEveryS: 0,
      checkpointS: 0,
      deadlineS: null,
      ...over,
    };
  }

  /** As PROTOCOL has it: a submission is repeated until it is accepted, then its user asks until the job is over. */
  async user(job: JobSubmission): Promise<void> {
    this.openUsers++;
    const { id } = job;
    const { rules, clock } = this.standIns;
    rules.jobs.set(id, jobFacts(job, clock.time));
    const began = performance.now();
    while (!(await this.told(id, submitRequest(job)))) this.refused++;
    this.latenciesMs.push(performance.now() - began);
    await this.until(`${id} is done`, async () => {
      await this.told(id, pollRequest(id));
      await delay(300);
      return rules.jobs.get(id)!.toldDoneAt !== null;
    });
    this.openUsers--;
  }

  /** Asks any controller that accepts connections; false if the request has to be repeated. */
  private async told(id: string, { method, path, body }: UserRequest): Promise<boolean> {
    const { rules, clock } = this.standIns;
    const asked = clock.time;
    const start = Math.floor(Math.random() * NAMES.length);
    for (let i = 0; i < NAMES.length; i++) {
      const { address } = this.controllers[(start + i) % NAMES.length];
      const reply = await this.standIns.ask(address, method, path, body);
      if (reply.status === 0) continue;
      const decoded = decodeJobReply(reply);
      rules.told(id, decoded, asked);
      if (decoded.job) return true;
      break;
    }
    await delay(200);
    return false;
  }

  /** Jobs keep coming until `endStream`. */
  async stream(everyMs: number): Promise<void> {
    this.streaming = true;
    while (this.streaming) {
      void this.user(this.newJob({ tasks: 1 + (this.nextJob % 6) }));
      await delay(everyMs);
    }
  }

  /** Every job that was begun has ended, as its user was told. */
  async endStream(): Promise<void> {
    this.streaming = false;
    await this.until('all jobs are done', () => this.openUsers === 0);
  }

  /** Each accepted job ended once; no task ran in two places, or again after it was done. */
  checkHistory(): void {
    const { rules } = this.standIns;
    assert.deepEqual(rules.broken, []);
    assert.deepEqual(rules.startsAfterDone, []);
    for (const [id, job] of rules.jobs)
      if (job.toldDoneAt !== null) assert.equal(job.finished.size, job.spec.tasks, id);
  }
}
