/** Reports on the progress of jobs that controllers send and store: their age, their order and their stored form. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { KeyValue, Snapshot } from '@millring/state-access';
import fc from 'fast-check';
import { Cancellations } from '../src/jobs/cancellations.js';
import { Attestations } from '../src/peers/attestations.js';
import {
  PeerMessageHandler,
  type PeerMessageHandlerDependencies,
} from '../src/peers/peer-message-handler.js';
import { ObservedTasks } from '../src/progress/observed-tasks.js';
import { ProgressPages } from '../src/progress/progress-pages.js';
import { ProgressReader } from '../src/progress/progress-reader.js';
import { ProgressWriter } from '../src/progress/progress-writer.js';
import type { ProgressReport } from '../src/progress/progress-report.js';
import { MAX_REPORT_AGE_MS, ReportedProgress } from '../src/progress/reported-progress.js';
import { readStoredProgress, stampKey } from '../src/progress/stored-progress.js';
import type { Heartbeat } from '../src/wire/model.js';
import { MachineNews } from '../src/workers/machine-news.js';

const JOB = 'run-000001';

function reportOf(epoch: number | null, running: number): ProgressReport {
  return { epoch, jobs: new Map([[JOB, { done: 0, running }]]), uncertain: new Map() };
}

test('a report that is older than allowed tells nothing, also of jobs that it does not name', () => {
  const reported = new ReportedProgress();
  assert.equal(reported.progressOf(JOB, 0), null, 'a process that has just begun knows nothing');
  reported.record(reportOf(7, 1), 1000);
  assert.equal(reported.progressOf(JOB, 1000 + MAX_REPORT_AGE_MS)?.running, 1);
  assert.equal(reported.progressOf('run-000002', 1000 + MAX_REPORT_AGE_MS)?.running, 0);
  assert.equal(reported.progressOf(JOB, 1001 + MAX_REPORT_AGE_MS), null);
  assert.equal(reported.progressOf('run-000002', 1001 + MAX_REPORT_AGE_MS), null);
});

// Guards against answers that go back: held messages arrive late, those of a deposed leader after its successor's.
test('a late report replaces no newer one, whichever leader composed it', () => {
  const reported = new ReportedProgress();
  reported.record(reportOf(8, 1), 2000);
  reported.record(reportOf(7, 0), 2500);
  reported.record(reportOf(8, 0), 1900);
  assert.equal(reported.progressOf(JOB, 2500)?.running, 1);
  reported.record(reportOf(9, 0), 1000);
  assert.equal(reported.progressOf(JOB, 2500)?.running, 0, 'a later leader composed it later');
});

test('the age of a report counts from what its leader had heard of this process, not from its arrival', () => {
  let now = 1000;
  const own = new Attestations('a', 'a-2', ['b'], () => now);
  const leader = new Attestations('b', 'b-1', ['a'], () => now);
  const recorded: number[] = [];
  const handler = new PeerMessageHandler({
    clock: { now: () => now, after: () => () => undefined },
    attestations: own,
    cancellations: new Cancellations(42, 20, () => 0),
    progress: { recordReport: (_report, composedAfter) => recorded.push(composedAfter) },
  } satisfies Partial<PeerMessageHandlerDependencies> as unknown as PeerMessageHandlerDependencies);
  const send = (heard?: ReturnType<Attestations['heard']>): void => {
    handler.handle({ t: 'progress', from: 'b', jobs: [], epoch: 1, heard, uncertain: [] });
  };
  send(leader.heard());
  assert.deepEqual(recorded, [], 'the leader had heard nothing of this process');
  leader.recordAttestation(new Attestations('a', 'a-1', ['b'], () => now).attest(1, false));
  send(leader.heard());
  assert.deepEqual(recorded, [], 'the leader had heard an earlier process');
  leader.recordAttestation(own.attest(1, false));
  const held = leader.heard();
  now += 9000;
  send(held);
  assert.deepEqual(recorded, [1000]);
  send(undefined);
  assert.deepEqual(recorded, [1000, now], 'an older build does not tell what it heard');
});

/** A reader over a state service that holds one stamp, or none. */
function readerOf(stored: { stamp: { epoch: number; sequence: number } | null; now: number }): {
  composedAfter: () => Promise<number | undefined>;
} {
  const key = stampKey('leader');
  const reader = new ProgressReader(
    { now: () => stored.now, after: () => () => undefined },
    {
      scan: () => {
        const pairs = stored.stamp ? [{ key, value: stored.stamp, version: 1 }] : [];
        return Promise.resolve({ pairs, revision: 1 } as Snapshot);
      },
    },
  );
  return { composedAfter: async () => (await reader.read())[0]?.composedAfter };
}

// Guards against stamps whose write was held up: a new version proves that it was applied now, not composed now.
test('a stored report was composed after a read that found the last stamp but one, and no proof is drawn from one step', async () => {
  const stored = { stamp: { epoch: 3, sequence: 5 }, now: 1000 };
  const reader = readerOf(stored);
  assert.equal(await reader.composedAfter(), undefined, 'a left-over stamp proves nothing');
  Object.assign(stored, { now: 2000 });
  assert.equal(await reader.composedAfter(), undefined);
  Object.assign(stored, { now: 3000, stamp: { epoch: 3, sequence: 6 } });
  assert.equal(await reader.composedAfter(), undefined, 'it may have been sent long ago');
  Object.assign(stored, { now: 4000, stamp: { epoch: 3, sequence: 7 } });
  assert.equal(await reader.composedAfter(), 2000);
  Object.assign(stored, { now: 5000, stamp: { epoch: 4, sequence: 1 } });
  assert.equal(await reader.composedAfter(), undefined, 'the first stamp of a term');
  Object.assign(stored, { now: 6000, stamp: { epoch: 4, sequence: 2 } });
  assert.equal(await reader.composedAfter(), 4000);
});

test('without a stored stamp, the second one of a term was composed after the last read that found none', async () => {
  const stored: Parameters<typeof readerOf>[0] = { stamp: null, now: 1000 };
  const reader = readerOf(stored);
  assert.equal(await reader.composedAfter(), undefined);
  Object.assign(stored, { now: 2000, stamp: { epoch: 4, sequence: 2 } });
  assert.equal(await reader.composedAfter(), 1000);
});

const MAX_VALUE_BYTES = 700;
const condition = fc.constantFrom('idle', 'running', 'uncertain', 'unnamed');

test('stored pages tell the conditions of the last report, and no page exceeds the size of a value', () => {
  fc.assert(
    fc.property(fc.array(fc.array(condition, { minLength: 30, maxLength: 30 })), (rounds) => {
      const pages = new ProgressPages('leader', MAX_VALUE_BYTES);
      const stored = new Map<string, unknown>();
      for (const round of rounds) {
        const report = reportOfConditions(round);
        pages.update(report);
        const changed = pages.changed();
        for (const { key, value } of changed) {
          assert.ok(JSON.stringify(value).length <= MAX_VALUE_BYTES);
          stored.set(key, structuredClone(value));
        }
        pages.markStored(changed);
        assert.deepEqual(conditionsOf(stored), conditionsIn(report));
      }
    }),
    { seed: 56, numRuns: 60 },
  );
});

// Guards against a held transaction with pages that is applied after newer pages were stored, without a new stamp.
test('each transaction of a report needs the version of the stamp and raises it, whether or not the report is complete', async () => {
  const conditions = Array.from({ length: 200 }, () => 'running');
  let now = 0;
  const sequences: number[] = [];
  const writer = new ProgressWriter({
    clock: { now: () => now, after: (ms, callback) => after(ms, callback) },
    store: {
      scan: () => Promise.resolve({ pairs: [], revision: 1 }),
      compareAndSwap: (preconditions, mutations) => {
        const version = sequences.length === 0 ? 0 : 100 + sequences.length;
        assert.deepEqual(preconditions, [{ key: stampKey('leader'), version }]);
        assert.ok(mutations.length <= 3);
        const stamp = mutations.find((one) => 'put' in one && one.put === stampKey('leader'));
        sequences.push((stamp as { value: { sequence: number } }).value.sequence);
        return Promise.resolve({ kind: 'committed', revision: 100 + sequences.length });
      },
    },
    source: 'leader',
    report: () => (sequences.length < 8 ? reportOfConditions(conditions) : null),
    preconditions: () => [],
    maxValueBytes: MAX_VALUE_BYTES,
    maxMutations: 3,
    writesPerS: 100,
  });
  const after = (ms: number, callback: () => void): (() => void) => {
    now += ms;
    if (sequences.length < 8) setImmediate(callback);
    return () => undefined;
  };
  void writer.run();
  while (sequences.length < 8) await new Promise((done) => setImmediate(done));
  assert.deepEqual(sequences, [0, 0, 0, 1, 2, 3, 4, 5]);
});

function reportOfConditions(conditions: readonly string[]): ProgressReport {
  const jobs = new Map<string, { done: number; running: number }>();
  const uncertain = new Map<string, string | null>();
  for (const [index, name] of conditions.entries()) {
    const id = `run-${String(index).padStart(6, '0')}`;
    if (name !== 'unnamed') jobs.set(id, { done: 3, running: name === 'running' ? 2 : 0 });
    if (name === 'uncertain') uncertain.set(id, index % 2 ? `10.1.0.${index}:9000` : null);
  }
  return { epoch: 1, jobs, uncertain };
}

function conditionsIn({ jobs, uncertain }: ProgressReport): [string, string][] {
  const running = [...jobs].filter(([, progress]) => progress.running > 0);
  const conditions = new Map(running.map(([id]) => [id, 'running']));
  for (const [id, endpoint] of uncertain) conditions.set(id, `uncertain ${endpoint}`);
  return [...conditions].sort();
}

function conditionsOf(stored: ReadonlyMap<string, unknown>): [string, string][] {
  const stamp: KeyValue = { key: stampKey('leader'), value: { epoch: 1, sequence: 1 }, version: 1 };
  const pages = [...stored].map(([key, value]): KeyValue => ({ key, value, version: 1 }));
  return conditionsIn(readStoredProgress([stamp, ...pages])[0].report);
}

function heartbeatOf(sequence: number): Heartbeat {
  const task = { job: JOB, taskNumber: 0, attempt: 1, state: 'running' as const, cause: null };
  const place = { machine: 'i-1', endpoint: '10.1.0.1:9000', type: 't', zone: 'b', spot: false };
  return { ...place, incarnation: 1, sequence, token: 1, preemptionNoticeS: null, tasks: [task] };
}

test('a machine that reports every 4 s is known for longer than 3 s, but not if its zone seems to be cut off', () => {
  const news = new MachineNews(4);
  const machine = { newsFrom: -Infinity };
  news.reportArrived(machine, 0);
  assert.ok(!news.isCurrent(machine, false, 0), 'a report that comes first may be old');
  news.responseArrived(machine, 100);
  news.reportArrived(machine, 4000);
  assert.ok(news.isCurrent(machine, false, 9900));
  assert.ok(!news.isCurrent(machine, false, 10_100));
  assert.ok(news.isCurrent(machine, true, 6400));
  assert.ok(!news.isCurrent(machine, true, 6600));
});

// Guards against held reports, which may arrive in a burst, as promptly one after the other as others do.
test('the reports of a worker count only from its answer to a request on, and as long as they come promptly', () => {
  let now = 0;
  const observed = new ObservedTasks(1, 1, () => now);
  observed.recordReport(heartbeatOf(5));
  assert.equal(observed.runningTasks(JOB), 0, 'it may have been under way for long');
  now = 1000;
  observed.recordReport(heartbeatOf(6));
  assert.equal(observed.runningTasks(JOB), 0, 'so may the next one');
  assert.deepEqual(observed.endpointsToAsk(), ['10.1.0.1:9000']);
  now = 2000;
  observed.recordResponse(heartbeatOf(7), 1900);
  assert.equal(observed.runningTasks(JOB), 1);
  assert.deepEqual(observed.endpointsToAsk(), []);
  now = 4000;
  observed.recordReport(heartbeatOf(8));
  now = 6000;
  assert.equal(observed.runningTasks(JOB), 1);
  now = 9000;
  assert.equal(observed.runningTasks(JOB), 0, 'it is too old');
  observed.recordReport(heartbeatOf(9));
  assert.equal(observed.runningTasks(JOB), 0, 'it comes after a long silence');
  now = 9300;
  observed.recordResponse(heartbeatOf(9), 9200);
  assert.equal(observed.runningTasks(JOB), 0, 'a copy proves nothing');
  observed.recordResponse(heartbeatOf(10), 9200);
  now = 9600;
  assert.equal(observed.runningTasks(JOB), 1);
  assert.equal(observed.report()?.jobs.get(JOB)?.running, 1);
});
