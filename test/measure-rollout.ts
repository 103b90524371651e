/**
 * Measures a rolling upgrade on this machine: three controller processes on loopback are replaced one at a time under
 * steady submissions, next to a period without an upgrade. Also measures the size of records of finished tasks. Not
 * part of the tests.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { build as histogram } from 'hdr-histogram-js';
import { recordsOfBlock } from '../src/jobs/finished-records.js';
import {
  CHUNK_LAYOUT,
  type Layout,
  TASKS_PER_BLOCK,
  finerLayout,
} from '../src/jobs/record-layout.js';
import { ControllerProcesses } from './sim/controller-processes.js';
import { SeededRandom } from './sim/random.js';

const NAMES = ['n0', 'n1', 'n2'];
const ROLLOUT = { mode: 'automatic', soak_s: 2, stall_s: 60, announcement_lease_s: 15 } as const;
const REPETITIONS = 3;
const SUBMISSION_INTERVAL_MS = 100;
const BASELINE_MS = 20_000;
const PAUSE_MS = 4000;
const VALUE_BYTES = 4096;

interface Figures {
  submissions: number;
  refused: number;
  p50Ms: number;
  p99Ms: number;
  /** Changes to records of the rollout only. */
  rolloutChangesPerS: number;
  requestsPerS: number;
  changesPerS: number;
}

/** Measures submissions, refusals, and the load on the state service while `during` runs. */
async function measure(
  deployment: ControllerProcesses,
  during: () => Promise<void>,
): Promise<Figures> {
  const { state } = deployment.services;
  const accepted = deployment.users.latenciesMs.length;
  const { refused } = deployment.users;
  const { requests, changes } = state.received;
  const rolloutChanges = state.changesUnder('rollout/');
  const startedAt = performance.now();
  await during();
  const seconds = (performance.now() - startedAt) / 1000;
  const latencies = histogram({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000 });
  for (const ms of deployment.users.latenciesMs.slice(accepted))
    latencies.recordValue(Math.max(1, Math.round(ms)));
  return {
    submissions: deployment.users.latenciesMs.length - accepted,
    refused: deployment.users.refused - refused,
    p50Ms: latencies.getValueAtPercentile(50),
    p99Ms: latencies.getValueAtPercentile(99),
    rolloutChangesPerS: (state.changesUnder('rollout/') - rolloutChanges) / seconds,
    requestsPerS: (state.received.requests - requests) / seconds,
    changesPerS: (state.received.changes - changes) / seconds,
  };
}

function print(label: string, figures: object): void {
  const rounded = Object.entries(figures).map(([name, value]) => [
    name,
    Math.round(Number(value) * 100) / 100,
  ]);
  console.log(label, JSON.stringify(Object.fromEntries(rounded)));
}

async function measureUpgrade(): Promise<void> {
  const deployment = new ControllerProcesses();
  await deployment.start('old', ROLLOUT);
  void deployment.users.stream(SUBMISSION_INTERVAL_MS);
  await delay(PAUSE_MS);
  print('baseline', await measure(deployment, () => delay(BASELINE_MS)));
  let activationMs = 0;
  const figures = await measure(deployment, async () => {
    for (const name of NAMES) {
      await deployment.replace(name, 'new');
      await deployment.untilHealthy(name);
      if (name !== NAMES.at(-1)) await delay(PAUSE_MS);
    }
    const healthy = performance.now();
    await deployment.until('the level is raised', () => deployment.level.active === 2);
    activationMs = performance.now() - healthy;
  });
  print('rolling upgrade', figures);
  print('from the last healthy controller to activation', { ms: activationMs });
  await deployment.users.endStream();
  deployment.users.checkHistory();
  await deployment.stop();
}

/** Returns the number of records of a job, and their total size in bytes of JSON. */
function storedSize(
  finished: Uint8Array,
  tasks: number,
  layout: Layout,
): { records: number; bytes: number } {
  const values = new Map<number, number>();
  for (let chunk = 0; chunk * TASKS_PER_BLOCK < tasks; chunk++) {
    const packed = recordsOfBlock(finished, tasks, chunk, layout, VALUE_BYTES);
    if (packed.kind === 'too-large') return storedSize(finished, tasks, finerLayout(layout));
    for (const { number, value } of packed.records)
      values.set(number, JSON.stringify(value).length);
  }
  return {
    records: values.size,
    bytes: [...values.values()].reduce((sum, bytes) => sum + bytes, 0),
  };
}

/** Returns a bitmap with the value of `isFinished` for each task number. */
function bitmapOf(tasks: number, isFinished: (task: number) => boolean): Uint8Array {
  const bits = new Uint8Array(Math.ceil(tasks / 8));
  for (let task = 0; task < tasks; task++) if (isFinished(task)) bits[task >> 3] |= 1 << (task & 7);
  return bits;
}

function printRecordSizes(): void {
  const random = new SeededRandom(1);
  const patterns: [string, (task: number, tasks: number) => boolean][] = [
    ['first half, in order', (task, tasks) => task < tasks / 2],
    ['first half but for one in twenty', (task, tasks) => task < tasks / 2 && !random.chance(0.05)],
    ['half, at random', () => random.chance(0.5)],
  ];
  for (const tasks of [2048, 6144, 20_000, 100_000])
    for (const [name, isFinished] of patterns) {
      const bits = bitmapOf(tasks, (task) => isFinished(task, tasks));
      const chunks = storedSize(bits, tasks, CHUNK_LAYOUT);
      const segments = storedSize(bits, tasks, { kind: 'segments', splitLevel: 0 });
      console.log(`${tasks} tasks, ${name}:`, JSON.stringify({ chunks, segments }));
    }
}

printRecordSizes();
for (let i = 0; i < REPETITIONS; i++) await measureUpgrade();
