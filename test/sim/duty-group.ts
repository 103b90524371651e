/** Simulated controllers that share the duties and do nothing else, in virtual time, with injected faults. */
import assert from 'node:assert/strict';
import {
  DUTIES,
  type Duty,
  DutyMember,
  type DutySettings,
  type IntentAction,
  IntentLog,
  type IntentResult,
} from '@millring/duties';
import type { Runtime } from '../../src/runtime.js';
import { StateStore } from '../../src/state-store/client.js';
import { VirtualClock } from './clock.js';
import { DutyInvariants, type ObservedDutyGroup } from './duty-invariants.js';
import { FencedProvider, FencedProviderClient } from './fenced-provider.js';
import { Network } from './network.js';
import { type SimulatedProcess, simulatedRuntime } from './simulated-runtime.js';
import { quietLog } from './quiet-log.js';
import { SeededRandom } from './random.js';
import { StateService } from './state-service.js';

/** Default duty settings of the members of a duty group, as in the operators' file. */
export const DUTY_GROUP_SETTINGS: DutySettings = {
  mode: 'on',
  held_here: [...DUTIES],
  lease_s: 2,
  settle_s: 4,
  rebalance_s: 10,
  retention_s: 10,
  report_s: 60,
};

const STATE = 'state:1';
const PROVIDER = 'provider:1';
const MAX_CLOCK_RATE = 1.001;
const DAY_MS = 24 * 3600 * 1000;
const STEP_S = 0.05;
/**
 * Key of the record that takes the place of the leader's claim: its version is a precondition of every intent. Also the
 * name of the simulated process that opens the intents, as the leader does in a complete cluster.
 */
const DECIDER_KEY = 'decider';

interface MemberProcess extends SimulatedProcess {
  member: DutyMember;
}

/** The number of controllers, and how they share the duties. */
export interface DutyGroupConfig {
  seed: number;
  size?: number;
  settings?: Partial<DutySettings>;
  /** Name of the controller that the members regard as the leader, which gets fewer duties; none by default. */
  leader?: string;
}

/**
 * Composes the members, the state service and the provider. `run` advances virtual time and checks the invariants after
 * each step.
 */
export class DutyGroup implements ObservedDutyGroup {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: Network;
  readonly state: StateService;
  readonly provider = new FencedProvider();
  readonly invariants: DutyInvariants;
  readonly names: string[];
  /** Log lines of all controllers, with the controller's name. */
  readonly logLines: { name: string; text: string; fields: object }[] = [];
  private readonly processes = new Map<string, MemberProcess>();
  /** Names of controllers whose duties are currently turned off. */
  readonly turnedOff = new Set<string>();
  private nextIntent = 1;
  private readonly intentLog: IntentLog;

  constructor(private readonly config: DutyGroupConfig) {
    this.names = Array.from({ length: config.size ?? 3 }, (_, i) => `n${i}`);
    this.random = new SeededRandom(config.seed);
    this.network = new Network(this.clock, this.random);
    this.state = new StateService(this.clock, this.random, { rps: 200, writeRps: 40 });
    this.network.hosts.set(STATE, {
      handler: (...request) => this.state.handle(...request),
      hangsUntil: 0,
    });
    this.network.hosts.set(PROVIDER, { handler: this.provider.handle, hangsUntil: 0 });
    this.state.putDirectly(DECIDER_KEY, {});
    this.invariants = new DutyInvariants(this);
    for (const name of this.names) this.start(name);
    this.intentLog = this.createIntentLog();
  }

  private settings(): DutySettings {
    return { ...DUTY_GROUP_SETTINGS, ...this.config.settings };
  }

  private runtime(name: string, process: SimulatedProcess, rate: number): Runtime {
    const recordLine = (fields: object, text: string): void => {
      this.logLines.push({ name, text, fields });
    };
    return simulatedRuntime(`${name}:80`, process, {
      clock: this.clock,
      network: this.network,
      random: this.random,
      processClock: this.clock.processClock(rate, () => process.alive),
      log: { ...quietLog, info: recordLine, error: recordLine },
    });
  }

  start(name: string): void {
    const process: SimulatedProcess = { alive: true, frozenUntil: 0 };
    const member = this.createMember(name, process, this.settings());
    const memberProcess: MemberProcess = Object.assign(process, { member });
    this.processes.set(name, memberProcess);
    member.run();
  }

  private createMember(
    name: string,
    process: SimulatedProcess,
    settings: DutySettings,
  ): DutyMember {
    const runtime = this.runtime(name, process, this.random.between(1, MAX_CLOCK_RATE));
    // The wall clocks of controllers may differ by days.
    const wallOffsetMs = this.random.between(-DAY_MS, DAY_MS);
    return new DutyMember({
      environment: {
        clock: runtime.clock,
        log: runtime.log,
        random: () => runtime.random(),
        wallMs: () => 1e12 + this.clock.time + wallOffsetMs,
      },
      store: this.storeOf(runtime),
      self: name,
      process: `${name}-${this.clock.time}-${this.random.unit()}`,
      settings,
      provider: new FencedProviderClient({ http: runtime.http, address: PROVIDER }),
      maxTransactionOps: 12,
      mayHold: () => !this.turnedOff.has(name),
      leader: () => this.config.leader ?? null,
    });
  }

  private storeOf(runtime: Runtime): StateStore {
    return new StateStore(runtime, {
      address: STATE,
      nodes: this.names.length,
      rps: 200,
      writeRps: 40,
    });
  }

  private createIntentLog(): IntentLog {
    const process: SimulatedProcess = { alive: true, frozenUntil: 0 };
    const runtime = this.runtime(DECIDER_KEY, process, 1);
    const follower = this.createMember(DECIDER_KEY, process, { ...this.settings(), held_here: [] });
    follower.run();
    return new IntentLog({
      environment: { ...runtime, wallMs: () => 1e12 + this.clock.time },
      store: this.storeOf(runtime),
      view: follower.view,
      isActive: () => true,
      newId: () => `i-${this.nextIntent++}`,
      preconditions: () => [
        { key: DECIDER_KEY, version: this.state.items.get(DECIDER_KEY)!.version },
      ],
    });
  }

  /** Rewrites the decider's record, as a new leader rewrites the claim: intents that require the old version fail. */
  replaceDecider(): void {
    this.state.putDirectly(DECIDER_KEY, {});
  }

  openIntent(duty: Duty, action: IntentAction): Promise<IntentResult> {
    return this.intentLog.open(duty, action);
  }

  /** Opens an intent to delete machines of the provider. */
  delete(duty: 'return' | 'reclaim', ...machines: string[]): Promise<IntentResult> {
    return this.openIntent(duty, { kind: 'delete', machines });
  }

  rent(count: number): Promise<IntentResult> {
    return this.openIntent('rent', { kind: 'rent', type: 't16', zone: 'a', spot: false, count });
  }

  member(name: string): DutyMember {
    return this.processes.get(name)!.member;
  }

  isUp(name: string): boolean {
    return this.processes.get(name)!.alive;
  }

  isFrozen(name: string): boolean {
    return this.processes.get(name)!.frozenUntil > this.clock.time;
  }

  crash(name: string, downMs: number): void {
    const process = this.processes.get(name)!;
    if (!process.alive) return;
    process.alive = false;
    this.clock.after(downMs, () => {
      this.start(name);
    });
  }

  freeze(name: string, ms: number): void {
    this.processes.get(name)!.frozenUntil = this.clock.time + ms;
  }

  /** Holds the process's requests to the provider for `ms`; they arrive afterwards. */
  holdRequests(name: string, ms: number): void {
    this.network.partitions.push({
      a: (host) => host === `${name}:80`,
      b: (host) => host === PROVIDER,
      until: this.clock.time + ms,
      mode: 'hold',
    });
  }

  /** Holds the state service's responses to the process for `ms`; the process's requests are executed. */
  holdResponses(name: string, ms: number): void {
    this.network.partitions.push({
      a: (host) => host === STATE,
      b: (host) => host === `${name}:80`,
      until: this.clock.time + ms,
      mode: 'hold',
      oneWay: true,
    });
  }

  /** Makes the state service reject requests of this process only, for `ms`. */
  rejectStateRequests(name: string, ms: number): void {
    this.state.rejectHost(`${name}:80`, ms);
  }

  private isHolder(name: string, duty: Duty): boolean {
    return this.isUp(name) && !this.isFrozen(name) && this.member(name).holder(duty).isHeld();
  }

  /** Returns the names of the running controllers that consider themselves holders of the duty now. */
  holders(duty: Duty): string[] {
    return this.names.filter((name) => this.isHolder(name, duty));
  }

  holder(duty: Duty): string | undefined {
    return this.names.find((name) => this.isHolder(name, duty));
  }

  /** Returns the stored holder record of the duty, or undefined if there is none. */
  storedHolder(duty: Duty): { controller: string; token: number } | undefined {
    return this.state.value(`duties/holders/${duty}`) as
      { controller: string; token: number } | undefined;
  }

  openIntentCount(): number {
    const intents = [...this.state.items].filter(([key]) => key.startsWith('duties/intents/'));
    return intents.filter(([, { value }]) => (value as { outcome: unknown }).outcome === null)
      .length;
  }

  async run(seconds: number): Promise<void> {
    await this.clock.runUntil(this.clock.time + seconds * 1000, () => {
      this.invariants.check();
    });
  }

  async until(description: string, condition: () => boolean, withinS = 40): Promise<void> {
    for (let waited = 0; waited < withinS; waited += STEP_S) {
      if (condition()) return;
      await this.run(STEP_S);
    }
    assert.fail(`condition not met within ${withinS} s: ${description}`);
  }

  /** Waits until every duty has a holder. */
  async untilAllHeld(): Promise<void> {
    await this.until('all duties are held', () =>
      DUTIES.every((duty) => this.holder(duty) !== undefined),
    );
  }
}
