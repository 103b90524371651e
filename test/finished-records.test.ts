/** The stored forms of finished task numbers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { readFinishedRecord, recordsOfChunk } from '../src/jobs/finished-records.js';
import type { Job } from '../src/jobs/job.js';
import { JobTable } from '../src/jobs/job-table.js';
import { TrackedJob } from '../src/jobs/tracked-job.js';
import { ProgressRecords } from '../src/jobs/progress-records.js';
import { CHUNK_LAYOUT, type Layout, TASKS_PER_CHUNK } from '../src/jobs/record-layout.js';
import { MAX_TASKS } from '../src/wire/model.js';
import { spec } from './sim/job-spec.js';
import type { TaskAttempt } from '../src/workers/task-attempt.js';

const LAYOUTS: Layout[] = [
  CHUNK_LAYOUT,
  ...[0, 1, 4, 5, 6].map((split) => ({ kind: 'segments' as const, split })),
];

/** Stores all chunks of the job in a layout, and reads them into an empty one. */
function storeAndLoad(job: Job, layout: Layout, valueBytes = Infinity): Job {
  const loaded = new TrackedJob<TaskAttempt>(1, job.spec, 1, 0, true, 0);
  for (let chunk = 0; chunk * TASKS_PER_CHUNK < job.spec.tasks; chunk++) {
    const made = recordsOfChunk(job.finished.bits, job.spec.tasks, chunk, layout, valueBytes);
    assert.ok(made.kind === 'fits' && made.chunks.includes(chunk));
    for (const { number, value } of made.records) {
      const read = readFinishedRecord(number, value);
      assert.ok(read.kind === 'readable');
      loaded.loadFinished(read.firstTask, read.bits);
    }
  }
  return loaded;
}

test('finished task numbers survive packing, in any order, chunk by chunk, in every layout', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 3 * TASKS_PER_CHUNK }),
      fc.array(fc.nat(3 * TASKS_PER_CHUNK - 1), { maxLength: 60 }),
      fc.constantFrom(...LAYOUTS),
      (count, list, layout) => {
        const original = new TrackedJob<TaskAttempt>(0, spec({ tasks: count }), 1, 0, true, 0);
        for (const taskNumber of list) original.finish(taskNumber, 0);
        const loaded = storeAndLoad(original, layout);
        assert.deepEqual(loaded.finished.bits, original.finished.bits);
        assert.equal(loaded.finishedCount, new Set(list.filter((x) => x < count)).size);
        assert.equal(loaded.pending(), count - loaded.finishedCount);
      },
    ),
    { seed: 7, numRuns: 100 },
  );
});

test('the finest segments of random numbers fit into the least value size that settings allow', () => {
  const random = fc.sample(fc.uint8Array({ minLength: 12_500, maxLength: 12_500 }), {
    seed: 3,
    numRuns: 1,
  })[0];
  for (let chunk = 0; chunk * TASKS_PER_CHUNK < MAX_TASKS; chunk++) {
    const made = recordsOfChunk(random, MAX_TASKS, chunk, { kind: 'segments', split: 6 }, 512);
    assert.ok(made.kind === 'fits');
    for (const { value } of made.records) assert.ok(JSON.stringify(value).length <= 512);
  }
  const coarse = recordsOfChunk(random, MAX_TASKS, 0, { kind: 'segments', split: 0 }, 512);
  assert.equal(coarse.kind, 'too-large');
});

// A build from before levels reads texts only, so that a segment must be anything but a text.
test('a segment is no text, which a build without levels would take for a chunk', () => {
  const made = recordsOfChunk(
    new Uint8Array(2000).fill(255),
    16_000,
    0,
    { kind: 'segments', split: 0 },
    4096,
  );
  assert.ok(made.kind === 'fits');
  for (const { value } of made.records) assert.equal(typeof value, 'object');
});

test('records that cannot be read tell of no finished task', () => {
  const good = { from: 0, tasks: 4096, deflated: 'AAAA' };
  const wrong: [number, unknown][] = [
    [0, 17],
    [1000, 'AAAA'],
    [1000, good],
    [1000, { ...good, from: 3 }],
    [1000, { ...good, tasks: 10_000_000 }],
    [1000, { ...good, deflated: null }],
    [Number.NaN, {}],
  ];
  for (const [number, value] of wrong)
    assert.equal(readFinishedRecord(number, value).kind, 'unreadable');
  // Unpacks to more, and to less, than it claims to cover.
  const made = recordsOfChunk(
    new Uint8Array(1024).fill(255),
    8192,
    0,
    { kind: 'segments', split: 0 },
    4096,
  );
  assert.ok(made.kind === 'fits');
  const { number, value } = made.records[0];
  for (const tasks of [4096, 16_384])
    assert.equal(readFinishedRecord(number, { ...(value as object), tasks }).kind, 'unreadable');
});

// A leader that ended while it replaced chunks by segments: each of both may tell what the other does not.
test('records in two layouts are replaced only once all they tell was written again', () => {
  const jobs = new JobTable();
  const job = jobs.add(spec({ tasks: 20_000 }), 1, 0, true, 0);
  const records = new ProgressRecords(jobs, 4096);
  job.loadFinished(0, new Uint8Array([1]));
  for (const number of [0, 1000]) records.noteWritten(job, number);
  assert.deepEqual(records.supersededRecords(job, 5), []);
  assert.deepEqual([...job.finished.dirtyChunks.keys()], [0]);
  assert.deepEqual(records.supersededRecords(job, 5), [], 'not before it is written');
  records.noteDurable(job, [0], CHUNK_LAYOUT);
  assert.deepEqual(records.supersededRecords(job, 5), [], 'nor by a write in the other layout');
  records.noteDurable(job, [0], { kind: 'segments', split: 0 });
  assert.deepEqual(records.supersededRecords(job, 6), [0]);
  // Lowered: the other way round.
  records.chooseLayout(job, false, 7);
  assert.deepEqual(records.supersededRecords(job, 8), []);
  records.noteDurable(job, [0], CHUNK_LAYOUT);
  // A task that ends meanwhile keeps nothing up: a busy job would never be converted.
  job.finish(9000, 8);
  assert.deepEqual(records.supersededRecords(job, 8), [1000]);
  assert.deepEqual(records.conversion(), { kind: 'running', remaining: 1 });
  records.forgetNumber(job, 1000);
  assert.deepEqual(records.conversion(), { kind: 'done' });
});
