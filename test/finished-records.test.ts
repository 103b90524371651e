/** Layouts in which finished task numbers are stored. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { readFinishedRecord, recordsOfBlock } from '../src/jobs/finished-records.js';
import type { Job } from '../src/jobs/job.js';
import { JobTable } from '../src/jobs/job-table.js';
import { TrackedJob } from '../src/jobs/tracked-job.js';
import { FinishedRecordTable } from '../src/jobs/finished-record-table.js';
import { CHUNK_LAYOUT, type Layout, TASKS_PER_BLOCK } from '../src/jobs/record-layout.js';
import { MAX_TASKS } from '../src/wire/model.js';
import { spec } from './sim/job-spec.js';
import type { TaskAttempt } from '../src/workers/task-attempt.js';

const LAYOUTS: Layout[] = [
  CHUNK_LAYOUT,
  ...[0, 1, 4, 5, 6].map((splitLevel) => ({ kind: 'segments' as const, splitLevel })),
];

/** Packs all chunks of the job in the layout, and loads the records into a job without finished tasks. */
function storeAndLoad(job: Job, layout: Layout, valueBytes = Infinity): Job {
  const loaded = new TrackedJob<TaskAttempt>(1, job.spec, 1, 0, true, 0);
  for (let chunk = 0; chunk * TASKS_PER_BLOCK < job.spec.tasks; chunk++) {
    const packed = recordsOfBlock(job.finished.bits, job.spec.tasks, chunk, layout, valueBytes);
    assert.ok(packed.kind === 'fits' && packed.blocks.includes(chunk));
    for (const { number, value } of packed.records) {
      const read = readFinishedRecord(number, value);
      assert.ok(read.kind === 'readable');
      loaded.loadFinished(read.firstTask, read.bits);
    }
  }
  return loaded;
}

test('task numbers finished in any order are restored chunk by chunk from their records, in every layout', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 3 * TASKS_PER_BLOCK }),
      fc.array(fc.nat(3 * TASKS_PER_BLOCK - 1), { maxLength: 60 }),
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

test('segments of the finest split fit into the smallest value size that settings allow, even for random task numbers', () => {
  const random = fc.sample(fc.uint8Array({ minLength: 12_500, maxLength: 12_500 }), {
    seed: 3,
    numRuns: 1,
  })[0];
  for (let chunk = 0; chunk * TASKS_PER_BLOCK < MAX_TASKS; chunk++) {
    const packed = recordsOfBlock(
      random,
      MAX_TASKS,
      chunk,
      { kind: 'segments', splitLevel: 6 },
      512,
    );
    assert.ok(packed.kind === 'fits');
    for (const { value } of packed.records) assert.ok(JSON.stringify(value).length <= 512);
  }
  const coarse = recordsOfBlock(random, MAX_TASKS, 0, { kind: 'segments', splitLevel: 0 }, 512);
  assert.equal(coarse.kind, 'too-large');
});

// A build from before feature levels reads every record that is text as a chunk, and others as records without tasks.
test('a segment is stored as an object, not as text', () => {
  const packed = recordsOfBlock(
    new Uint8Array(2000).fill(255),
    16_000,
    0,
    { kind: 'segments', splitLevel: 0 },
    4096,
  );
  assert.ok(packed.kind === 'fits');
  for (const { value } of packed.records) assert.equal(typeof value, 'object');
});

test('malformed records are unreadable', () => {
  const validSegment = { from: 0, tasks: 4096, deflated: 'AAAA' };
  const malformed: [number, unknown][] = [
    [0, 17],
    [1000, 'AAAA'],
    [1000, validSegment],
    [1000, { ...validSegment, from: 3 }],
    [1000, { ...validSegment, tasks: 10_000_000 }],
    [1000, { ...validSegment, deflated: null }],
    [Number.NaN, {}],
  ];
  for (const [number, value] of malformed)
    assert.equal(readFinishedRecord(number, value).kind, 'unreadable');
  // Unpacks to more, or fewer, tasks than the record claims to cover.
  const packed = recordsOfBlock(
    new Uint8Array(1024).fill(255),
    8192,
    0,
    { kind: 'segments', splitLevel: 0 },
    4096,
  );
  assert.ok(packed.kind === 'fits');
  const { number, value } = packed.records[0];
  for (const tasks of [4096, 16_384])
    assert.equal(readFinishedRecord(number, { ...(value as object), tasks }).kind, 'unreadable');
});

// After a leader ended while it replaced chunks with segments, either may contain tasks that the other does not.
test('records in the old layout are superseded only after their content has been written in the new one', () => {
  const jobs = new JobTable();
  const job = jobs.add(spec({ tasks: 20_000 }), 1, 0, true, 0);
  const records = new FinishedRecordTable(jobs, 4096);
  job.loadFinished(0, new Uint8Array([1]));
  for (const number of [0, 1000]) records.noteWritten(job, number);
  assert.deepEqual(records.supersededRecords(job, 5), []);
  assert.deepEqual([...job.finished.dirtyBlocks.keys()], [0]);
  assert.deepEqual(records.supersededRecords(job, 5), [], 'not before the chunk is written');
  records.noteDurable(job, [0], CHUNK_LAYOUT);
  assert.deepEqual(records.supersededRecords(job, 5), [], 'nor after a write in the other layout');
  records.noteDurable(job, [0], { kind: 'segments', splitLevel: 0 });
  assert.deepEqual(records.supersededRecords(job, 6), [0]);
  // With a lowered level, segments are converted to chunks.
  records.chooseLayout(job, false, 7);
  assert.deepEqual(records.supersededRecords(job, 8), []);
  records.noteDurable(job, [0], CHUNK_LAYOUT);
  // A task that finishes meanwhile does not delay the conversion: otherwise a busy job would never be converted.
  job.finish(9000, 8);
  assert.deepEqual(records.supersededRecords(job, 8), [1000]);
  assert.deepEqual(records.conversion(), { kind: 'running', remaining: 1 });
  records.forgetNumber(job, 1000);
  assert.deepEqual(records.conversion(), { kind: 'done' });
});
