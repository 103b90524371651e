/** Main module of a process that shares the duties with other processes. Tests suspend and continue it with signals. */
import { performance } from 'node:perf_hooks';
import { DutyMember } from '@millring/duties';
import { HttpClient } from '../../src/http/http-client.js';
import type { Runtime } from '../../src/runtime.js';
import { StateStore } from '../../src/state-store/client.js';
import { DUTY_GROUP_SETTINGS } from './duty-group.js';
import { FencedProviderClient } from './fenced-provider.js';
import { quietLog } from './quiet-log.js';

/** Options of the process, passed as JSON in the first argument. */
export interface DutyProcessOptions {
  name: string;
  stateAddress: string;
  providerAddress: string;
  leaseS: number;
  /** Delay between the check of the holder and each request, in milliseconds. */
  sendDelayMs: number;
}

/** A message from the process to its parent. */
export type DutyProcessMessage =
  | { kind: 'state'; duty: string; to: string; token: number | null }
  | { kind: 'checked'; at: number }
  /** The provider's response to the request sent after a check; status 0 means that there was no response. */
  | { kind: 'answered'; at: number; status: number };

const SOCKETS = 16;

function sendToParent(message: DutyProcessMessage): void {
  process.send?.(message);
}

function reportStateChange(fields: object, text: string): void {
  if (text !== 'duty state changed') return;
  const { duty, to, token } = fields as { duty: string; to: string; token?: number };
  sendToParent({ kind: 'state', duty, to, token: token ?? null });
}

function run(options: DutyProcessOptions): void {
  const { name, stateAddress, providerAddress } = options;
  const runtime: Runtime = {
    clock: {
      now: () => performance.now(),
      after: (ms, callback) => {
        const timer = setTimeout(callback, ms);
        return () => {
          clearTimeout(timer);
        };
      },
    },
    http: new HttpClient({
      services: [stateAddress, providerAddress],
      maxConnectionsToWorkers: SOCKETS,
    }),
    log: { ...quietLog, info: reportStateChange },
    random: () => Math.random(),
  };
  const beforeSending = async (): Promise<void> => {
    sendToParent({ kind: 'checked', at: performance.now() });
    await new Promise((done) => setTimeout(done, options.sendDelayMs));
  };
  const member = new DutyMember({
    environment: { ...runtime, wallMs: () => Date.now() },
    store: new StateStore(runtime, { address: stateAddress, nodes: 3, rps: 400, writeRps: 100 }),
    self: name,
    process: `${name}-${process.pid}`,
    settings: { ...DUTY_GROUP_SETTINGS, lease_s: options.leaseS },
    provider: new FencedProviderClient({
      http: runtime.http,
      address: providerAddress,
      beforeSending,
      onResponse: ({ status }) => {
        sendToParent({ kind: 'answered', at: performance.now(), status });
      },
    }),
    maxTransactionOps: 12,
    mayHold: () => true,
    leader: () => null,
  });
  member.run();
}

run(JSON.parse(process.argv[2]) as DutyProcessOptions);
