/** Processes that share the duties, with a simulated state service and provider on loopback. */
import { type ChildProcess, fork } from 'node:child_process';
import type { Server } from 'node:http';
import { fileURLToPath } from 'node:url';
import { type Duty, type Intent, intentKey } from '@millring/duties';
import { killAndWait } from './child-process.js';
import { VirtualClock } from './clock.js';
import type { DutyProcessMessage, DutyProcessOptions } from './duty-process.js';
import { FencedProvider } from './fenced-provider.js';
import { closeServer, serveOnLoopback } from './loopback-server.js';
import { runInRealTime } from './real-time.js';
import { SeededRandom } from './random.js';
import { StateService } from './state-service.js';
import { waitUntil } from './wait-until.js';

const MAIN = fileURLToPath(new URL('./duty-process.js', import.meta.url));
const NAMES = ['n0', 'n1', 'n2'];
/** No test measures speed: a wait longer than this is caused by a fault, not by a slow machine. */
const TIMEOUT_MS = 120_000;
/** The duty that the tests observe. */
export const DUTY: Duty = 'return';

/** Three processes, with a state service and a provider on loopback. `stop` stops them all. */
export class DutyProcesses {
  readonly provider = new FencedProvider();
  readonly state: StateService;
  private readonly clock = new VirtualClock();
  private readonly servers: Server[] = [];
  private readonly children = new Map<string, ChildProcess>();
  private readonly messages: { name: string; message: DutyProcessMessage }[] = [];
  private stopped = false;

  constructor() {
    this.state = new StateService(this.clock, new SeededRandom(1));
  }

  /** `sendDelayMs` is the delay between the check of the holder and each request. */
  async start(sendDelayMs: number, leaseS: number): Promise<void> {
    const state = await serveOnLoopback((...request) => this.state.handle(...request));
    const provider = await serveOnLoopback(this.provider.handle);
    this.servers.push(state.server, provider.server);
    void runInRealTime(this.clock, () => this.stopped);
    for (const name of NAMES)
      this.fork({
        name,
        stateAddress: state.address,
        providerAddress: provider.address,
        leaseS,
        sendDelayMs,
      });
    await this.until('a process holds the duty', () => this.storedHolder() !== undefined);
  }

  private fork(options: DutyProcessOptions): void {
    const child = fork(MAIN, [JSON.stringify(options)]);
    child.on('message', (message) => {
      this.messages.push({ name: options.name, message: message as DutyProcessMessage });
    });
    this.children.set(options.name, child);
  }

  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT' | 'SIGKILL'): void {
    this.children.get(name)!.kill(signal);
  }

  storedHolder(): { controller: string; token: number } | undefined {
    return this.state.value(`duties/holders/${DUTY}`) as
      { controller: string; token: number } | undefined;
  }

  /** Adds a machine to the provider and stores an open intent to delete it, in the leader's format. */
  storeDeletionIntent(id: string, machine: string): void {
    const intent: Intent = {
      id,
      duty: DUTY,
      action: { kind: 'delete', machines: [machine] },
      openedMs: 0,
      outcome: null,
      token: null,
    };
    this.provider.machines.add(machine);
    this.state.putDirectly(intentKey(id), intent);
  }

  intent(id: string): Intent | undefined {
    return this.state.value(intentKey(id)) as Intent | undefined;
  }

  /** Whether the intent is stored and has an outcome. */
  isResolved(id: string): boolean {
    return (this.intent(id)?.outcome ?? null) !== null;
  }

  /** Returns the states of the duty that the process reported, in order. */
  states(name: string): string[] {
    return this.messages.flatMap(({ name: from, message }) =>
      from === name && message.kind === 'state' && message.duty === DUTY ? [message.to] : [],
    );
  }

  /** Returns the number of times that the process has passed the check of the holder. */
  checkCount(name: string): number {
    return this.messages.filter(
      ({ name: from, message }) => from === name && message.kind === 'checked',
    ).length;
  }

  /** Waits for a condition. On failure, prints what the processes and the provider did. */
  async until(description: string, condition: () => boolean): Promise<void> {
    try {
      await waitUntil(description, condition, { intervalMs: 20, timeoutMs: TIMEOUT_MS });
    } catch (error) {
      const running = [...this.children].map(([name, child]) => [name, child.exitCode]);
      const history = { running, messages: this.messages, calls: this.provider.calls };
      console.log(JSON.stringify(history, null, 1));
      throw error;
    }
  }

  /** Waits until another process holds the duty, under a higher token. */
  async untilReplaced(old: string, token: number): Promise<void> {
    await this.until('a successor holds the duty', () => {
      const now = this.storedHolder();
      return now !== undefined && now.controller !== old && now.token > token;
    });
  }

  async stop(): Promise<void> {
    for (const child of this.children.values()) await killAndWait(child);
    this.stopped = true;
    for (const server of this.servers) closeServer(server);
  }
}
