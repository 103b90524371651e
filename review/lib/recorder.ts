/** Writes what was sent, answered and run into the record of a case. */
import { closeSync, openSync, writeSync } from 'node:fs';
import process from 'node:process';
import { decodeMap } from '../../src/wire/cbor.js';
import type { LoopbackServices } from '../../test/sim/loopback-services.js';
import {
  COMMANDS_PATH,
  HEARTBEAT_PATH,
  type TaskCommand,
  decodeCommandRequest,
  decodeHeartbeatResponse,
} from '../../test/sim/wire/workers.js';

/** Lines of the controllers' logs that the record keeps. */
const KEPT_LOG = /leadership|leader term|lease expired|recovery|deleting|invariant|listening/;

export class Recorder {
  private readonly file: number;
  private readonly beganAt = performance.now();
  /** Tasks that were told to stop. */
  readonly stopped = new Set<string>();

  constructor(
    path: string,
    services: LoopbackServices,
    private readonly controllers: { name: string; address: string }[],
  ) {
    this.file = openSync(path, 'w');
    this.recordTasks(services);
    this.recordTraffic(services);
  }

  note(text: string): void {
    const seconds = ((performance.now() - this.beganAt) / 1000).toFixed(2);
    writeSync(this.file, `${seconds} ${text}\n`);
  }

  private recordTasks({ invariants }: LoopbackServices): void {
    const started = invariants.taskStarted.bind(invariants);
    const left = invariants.taskLeft.bind(invariants);
    const violated = invariants.recordViolation.bind(invariants);
    invariants.taskStarted = (task, place) => {
      this.note(`run ${task} starts on ${place.machine} in zone ${place.zone}`);
      started(task, place);
    };
    invariants.taskLeft = (task, machine, done) => {
      this.note(`run ${task} ends on ${machine}${done ? ', done' : ''}`);
      left(task, machine, done);
    };
    invariants.recordViolation = (rule, detail) => {
      this.note(`BROKEN ${rule}: ${detail}`);
      violated(rule, detail);
    };
  }

  /** Records the reports of workers and the commands to them. Reports that follow each other alike are left out. */
  private recordTraffic({ network }: LoopbackServices): void {
    const lastAnswer = new Map<string, string>();
    network.observer = {
      requested: ({ from, to, path, body }) => {
        if (path !== COMMANDS_PATH) return;
        const { commands } = decodeCommandRequest(decodeMap(body) ?? {});
        const told = commands.map((command) => this.recordCommand(command)).join(', ');
        this.note(`sent ${this.nameOf(from)} -> ${to} ${path} ${told}`);
      },
      responded: ({ from, to, path, status, body }) => {
        if (path !== HEARTBEAT_PATH) return;
        if (status === 200)
          for (const command of decodeHeartbeatResponse(decodeMap(body) ?? {}).commands)
            this.recordCommand(command);
        const answer = `${this.nameOf(from)} ${status}`;
        if (lastAnswer.get(to) === answer) return;
        lastAnswer.set(to, answer);
        this.note(`answered ${path} of the worker at ${to}: ${answer}`);
      },
    };
  }

  private recordCommand(command: TaskCommand): string {
    const { kind, task } = command;
    if (command.kind !== 'stop') return `${kind} ${task}`;
    this.stopped.add(task);
    return `stop ${task} (${command.graceS} s to save)`;
  }

  private nameOf(address: string): string {
    return this.controllers.find((controller) => controller.address === address)?.name ?? address;
  }

  /** Adds the lines of a controller's log that tell who led and what was given up. */
  addLog(name: string, text: string): void {
    for (const line of text.split('\n'))
      if (KEPT_LOG.test(line)) writeSync(this.file, `log ${name} ${line}\n`);
  }

  /** Prints a line and records it. */
  say(text: string): void {
    this.note(text);
    process.stdout.write(`${text}\n`);
  }

  close(): void {
    closeSync(this.file);
  }
}
