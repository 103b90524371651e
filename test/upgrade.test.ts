/** Old and new versions side by side and on each other's data; limits of the state service that fall. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { CompletionWriter } from '../src/jobs/completion-writer.js';
import { JobTable } from '../src/jobs/job-table.js';
import { endedKey, finishedKey, liveKey, readEnded, readLive } from '../src/jobs/records.js';
import { FrameDecoder, encodeFrame } from '../src/peers/framing.js';
import { readPeerMessage } from '../src/peers/peer-messages.js';
import type { PlatformSettings } from '../src/settings/platform.js';
import { StateStore } from '../src/state-store/client.js';
import { readMachinePage } from '../src/workers/machine-records.js';
import type { JobSpec } from '../src/wire/model.js';
import { Cluster, LEASE_MS } from './sim/cluster.js';
import { BATCH, SERVICE, GANG } from './sim/jobs.js';
import type { JobSubmission, SubmittedKind } from './sim/wire/users.js';
import { expectKept, play } from './sim/play.js';
import { outsider } from './sim/outsider.js';
import { jobFacts } from './sim/rules.js';

interface Fixture {
  leader: unknown;
  items: Record<string, unknown>;
  frames: Record<string, string>;
}

/**
 * Records and messages as each older version wrote them when it was run in a simulated cluster. `e9643d1` does not
 * know gangs yet; `b746609` is the first version that does.
 */
const OLDER = ['e9643d1', 'b746609'].map((version) => ({
  version,
  ...(JSON.parse(readFileSync(`test/fixtures/${version}.json`, 'utf8')) as Fixture),
}));
const OLD = OLDER[0];

const STRICT = { maxValueKb: 1, maxTransactionOps: 4, stateWritesPerS: 25 };

for (const older of OLDER)
  test(`records and messages of ${older.version} are read`, () => {
    const kinds = new Set<string>();
    for (const [key, value] of Object.entries(older.items)) {
      const pair = { key, value, version: 3 };
      kinds.add(key.slice(0, 2));
      if (key.startsWith('j/')) assert.equal(readLive(value)?.spec.id, key.slice(2));
      if (key.startsWith('e/')) assert.notEqual(readEnded(value), null, key);
      if (key.startsWith('m/')) assert.ok(readMachinePage(pair).length > 5, key);
    }
    assert.deepEqual([...kinds].sort(), ['ca', 'd/', 'e/', 'j/', 'm/']);
    for (const [kind, bytes] of Object.entries(older.frames)) {
      const read = new FrameDecoder().push(Buffer.from(bytes, 'base64'));
      assert.equal(read?.[0]?.t, kind);
    }
    assert.deepEqual(Object.keys(older.frames).sort(), [
      'ask',
      'attest',
      'cancelled',
      'grant',
      'progress',
      'served',
    ]);
  });

/** Names and types of all fields, so that records can be compared for what a reader relies on. */
function shapeOf(value: unknown): unknown {
  if (Array.isArray(value)) return value.length > 0 ? [shapeOf(value[0])] : [];
  if (typeof value !== 'object' || value === null) return value === null ? 'null' : typeof value;
  const fields = Object.entries(value).map(([name, v]) => [name, shapeOf(v)] as const);
  return Object.fromEntries(fields.sort(([a], [b]) => a.localeCompare(b)));
}

function shapesByKind(items: [string, unknown][]): Map<string, Set<string>> {
  const shapes = new Map<string, Set<string>>();
  for (const [key, value] of items) {
    const kind = key.slice(0, 2);
    // Values that may be null or not are compared as if they were null.
    const text = JSON.stringify(shapeOf(value)).replace(
      /"(deadlineS|types|zone)":("number"|"string"|\[.*?\])/g,
      '"$1":"null"',
    );
    shapes.set(kind, (shapes.get(kind) ?? new Set()).add(text));
  }
  return shapes;
}

test('what this version writes has the fields that older versions write and read', async () => {
  const cluster = new Cluster({ seed: 31, ordinaryUp: 20, capacity: 12 });
  const sent = new Map<string, unknown>();
  cluster.listen((m) => sent.set(m.t, m));
  await cluster.run(5);
  void cluster.user(cluster.newJob({ ...SERVICE, team: 't0' }), null);
  void cluster.user(cluster.newJob({ ...BATCH, team: 't1', tasks: 60, durationS: 9 }), null);
  void cluster.user(cluster.newJob({ ...GANG, team: 't0', tasks: 4, durationS: 60 }), null);
  void cluster.user(cluster.newJob({ ...BATCH, team: 't0', tasks: 3, durationS: 2 }), null);
  const cancelled = cluster.newJob({ ...GANG, team: 't0', tasks: 2, durationS: 40 });
  void cluster.user(cancelled, 16_000);
  await cluster.run(20);
  const items = [...cluster.state.items].map(([key, item]): [string, unknown] => [key, item.value]);
  const written = shapesByKind(items);
  for (const older of OLDER)
    for (const [kind, shapes] of shapesByKind(Object.entries(older.items)))
      for (const shape of shapes)
        assert.ok(written.get(kind)?.has(shape), `${older.version}: ${kind} ${shape}`);
  for (const older of OLDER)
    for (const [kind, bytes] of Object.entries(older.frames)) {
      const message = new FrameDecoder().push(Buffer.from(bytes, 'base64'))![0];
      assert.deepEqual(
        Object.keys(sent.get(kind) as object).sort(),
        Object.keys(message).sort(),
        kind,
      );
    }
});

test('messages of other kinds, or without what they need, are skipped', () => {
  assert.equal(readPeerMessage({ t: 'future', from: 'n1' }), null);
  assert.equal(readPeerMessage({ t: 'constructor', from: 'n1' }), null);
  assert.equal(readPeerMessage({ t: 'attest', from: 'n1', life: 'x' }), null);
  assert.equal(readPeerMessage({ t: 'served', from: 'n1', served: true, more: 1 })?.t, 'served');
  const odd = encodeFrame({ t: 'served', from: 'n1', served: true });
  const deframer = new FrameDecoder();
  const future = encodeFrame({ t: 'future', from: 'n1' } as never);
  assert.deepEqual(
    deframer.push(Buffer.concat([future, odd]))?.map((m) => m.t),
    ['served'],
  );
});

for (const older of OLDER)
  test(`a cluster goes on from the records of ${older.version}: live, cancelled and half finished jobs`, async () => {
    const cluster = new Cluster({ seed: 1, ordinaryUp: 0 });
    // The cloud never gives a name again: a new spot machine must not be taken for a stored ordinary one.
    cluster.cloud.namesFrom(1000);
    for (const name of cluster.names) cluster.crash(name, 1000);
    for (const [key, value] of Object.entries(older.items)) cluster.state.plant(key, value);
    const live = Object.entries(older.items).filter(([key]) => key.startsWith('j/'));
    const waiting = new Set<string>();
    const kinds: Record<SubmittedKind, Partial<JobSubmission>> = {
      array: BATCH,
      service: { ...BATCH, kind: 'service' },
      gang: GANG,
    };
    for (const [key, value] of live) {
      const { spec, cancelled } = readLive(value)!;
      const id = key.slice(2);
      const job = cluster.newJob(kinds[spec.kind]);
      const facts = jobFacts({ ...job, id, tasks: spec.tasks, team: spec.team, durationS: 2 }, 0);
      Object.assign(facts, { toldAccepted: true, cancelAsked: cancelled });
      cluster.rules.jobs.set(id, facts);
      if (!cancelled) waiting.add(id);
    }
    // The machines of that time are gone; old jobs wait until that is proved.
    await cluster.run(90);
    for (const id of waiting) {
      const job = cluster.rules.jobs.get(id)!;
      assert.ok(job.firstStartAt !== null, `${id} went on`);
      if (job.spec.kind !== 'service')
        assert.deepEqual(cluster.state.value(endedKey(id)), {
          state: 'done',
          tasks: job.spec.tasks,
        });
    }
    for (const [key] of live)
      if (!waiting.has(key.slice(2)))
        assert.equal(
          (cluster.state.value(endedKey(key.slice(2))) as { state: string }).state,
          'cancelled',
        );
    assert.deepEqual(
      cluster.rules.broken.filter((b) => !b.includes('not_done')),
      [],
    );
  });

test('what only another version knows stays in a record that is rewritten', async () => {
  const cluster = new Cluster({ seed: 2 });
  await cluster.run(4);
  const [, old] = Object.entries(OLD.items).find(
    ([key, value]) => key.startsWith('j/') && !readLive(value)!.cancelled,
  )!;
  const spec = (old as { spec: JobSpec }).spec;
  const id = 'run-000900';
  cluster.state.plant(liveKey(id), {
    ...(old as object),
    spec: { ...spec, id, hue: 3 },
    later: { deep: [1] },
  });
  cluster.rules.jobs.set(id, jobFacts(cluster.newJob({ ...BATCH, id, team: spec.team }), 0));
  // A machine that hangs keeps the record live for a while.
  for (const machine of cluster.cloud.machines.values())
    if (machine.worker) cluster.hang(machine.id, LEASE_MS);
  void cluster.cancel(id);
  await cluster.run(3);
  const now = cluster.state.value(liveKey(id)) as Record<string, unknown> | undefined;
  if (now)
    assert.deepEqual(
      [now.later, (now.spec as { hue?: number }).hue, now.cancelled],
      [{ deep: [1] }, 3, true],
    );
  const seen = cluster.state
    .history(liveKey(id))
    .find((v) => (v as { cancelled?: boolean }).cancelled);
  assert.deepEqual((seen as { later: unknown }).later, { deep: [1] });

  const page = cluster.state.value('m/page-0') as { machines: { id: string }[] };
  const rack = page.machines.map((m) => ({ ...m, rack: 7 }));
  cluster.state.plant('m/page-0', { machines: rack, note: 'kept' });
  const before = cluster.state.history('m/page-0').length;
  cluster.crash(cluster.leader()!, 150);
  await cluster.run(8);
  cluster.cloud.take(
    rack.map((m) => cluster.cloud.machines.get(m.id)).find((m) => m !== undefined)!,
  );
  await cluster.run(12);
  const after = cluster.state.history('m/page-0').slice(before) as {
    note?: string;
    machines: { rack?: number }[];
  }[];
  assert.ok(after.length > 0, 'the page was rewritten');
  for (const p of after) assert.deepEqual([p.note, p.machines[0].rack], ['kept', 7]);
  assert.deepEqual(cluster.rules.broken, []);
});

test('pages stored under higher limits come apart, every machine in one of them at any time', async () => {
  const cluster = new Cluster({ seed: 3, ordinaryUp: 45, capacity: 60, teamLimit: 2000 });
  cluster.net.lossy = 0;
  await cluster.run(4);
  for (let i = 0; i < 25; i++) void cluster.user(cluster.newJob({ ...SERVICE, cpus: 8 }), null);
  await cluster.run(12);
  const pagesNow = (): { id: string }[][] =>
    [...cluster.state.items]
      .filter(([key]) => key.startsWith('m/'))
      .map(([, item]) => (item.value as { machines: { id: string }[] }).machines);
  const known = new Set(
    pagesNow()
      .flat()
      .map((m) => m.id),
  );
  assert.ok(
    known.size >= 45 && pagesNow().some((p) => JSON.stringify(p).length > 2000),
    'stored larger',
  );
  cluster.state.bounds = { valueBytes: 1024, txnOps: 4 };
  for (const name of cluster.names) {
    cluster.overrides.set(name, STRICT);
    cluster.crash(name, 200);
  }
  await cluster.run(5);
  // One machine of each page goes, so that its page is written.
  const gone = new Set(pagesNow().map((p) => p[0].id));
  for (const id of gone) cluster.cloud.take(cluster.cloud.machines.get(id)!);
  for (let second = 0; second < 4000; second++) {
    await cluster.run(0.004);
    const now = new Set(
      pagesNow()
        .flat()
        .map((m) => m.id),
    );
    for (const id of known)
      assert.ok(now.has(id) || !cluster.cloud.machines.has(id), `${id} is stored`);
  }
  await cluster.run(20);
  assert.ok([...known].filter((id) => cluster.cloud.machines.has(id)).length > 30);
  for (const page of pagesNow()) assert.ok(JSON.stringify({ machines: page }).length <= 1024);
  assert.equal(cluster.state.tooLarge, 0);
  assert.deepEqual(cluster.rules.broken, []);
});

test('a job whose record was stored larger than values may be now can be cancelled, for all readers', async () => {
  const cluster = new Cluster({ seed: 6 });
  await cluster.run(4);
  const spec = readLive(Object.entries(OLD.items).find(([key]) => key.startsWith('j/'))![1])!.spec;
  const id = 'run-000901';
  const types = Array.from({ length: 40 }, (_, i) => `${'kind-'.repeat(8)}${i}`);
  cluster.state.plant(liveKey(id), {
    spec: { ...spec, id, types },
    at: 1e12,
    cancelled: false,
    later: 'x'.repeat(500),
  });
  cluster.rules.jobs.set(id, {
    ...jobFacts(cluster.newJob({ ...BATCH, id, team: spec.team }), 0),
    toldAccepted: true,
  });
  cluster.state.bounds = { valueBytes: 1024, txnOps: 4 };
  void cluster.cancel(id);
  await cluster.run(3);
  assert.notEqual(cluster.rules.jobs.get(id)!.toldCancelledAt, null);
  const written = cluster.state.history(liveKey(id)).map((value) => readLive(value));
  assert.ok(written.some((record) => record?.cancelled && record.spec.id === id));
  await cluster.run(15);
  assert.deepEqual(cluster.state.value(endedKey(id)), { state: 'cancelled', tasks: spec.tasks });
  assert.deepEqual(cluster.rules.broken, []);
});

test('the end of a job with many records of finished tasks fits into small transactions', async () => {
  const cluster = new Cluster({ seed: 4, ordinaryUp: 0 });
  for (const name of cluster.names) cluster.crash(name, 1e9);
  cluster.net.lossy = 0;
  cluster.net.repeats = 0;
  cluster.state.plant('boss', {});
  cluster.state.bounds = { valueBytes: 2048, txnOps: 4 };
  const world = outsider(cluster);
  const store = new StateStore(world, { address: 'state:1', nodes: 1, rps: 100, writeRps: 50 });
  const spec = readLive(Object.entries(OLD.items).find(([key]) => key.startsWith('j/'))![1])!.spec;
  const jobs = new JobTable();
  cluster.state.plant(liveKey('run-1'), {});
  const version = cluster.state.items.get(liveKey('run-1'))!.version;
  const job = jobs.add(
    { ...spec, id: 'run-1', kind: 'array', tasks: 100_000 },
    version,
    0,
    true,
    0,
  );
  const completionWriter = new CompletionWriter({
    runtime: world,
    store,
    jobs,
    txnOps: 4,
    writeRps: 50,
    valueBytes: 2048,
    isLeader: () => true,
    leaderPrecondition: () => ({ key: 'boss', version: cluster.state.items.get('boss')!.version }),
    segmentPrecondition: () => null,
    hasNoAttempts: () => true,
    jobEnded: (endedJob) => {
      jobs.remove(endedJob);
    },
  });
  for (let taskNumber = 0; taskNumber < 100_000; taskNumber++) job.finish(taskNumber, 0);
  for (let chunk = 0; chunk < 13; chunk++) {
    cluster.state.plant(finishedKey('run-1', chunk), 'x');
    completionWriter.noteWritten(job, chunk);
  }
  for (let second = 0; second < 60; second++) {
    completionWriter.tick();
    await cluster.run(0.2);
  }
  assert.deepEqual(cluster.state.value(endedKey('run-1')), { state: 'done', tasks: 100_000 });
  assert.deepEqual(
    [...cluster.state.items.keys()].filter((k) => k.startsWith('d/') || k.startsWith('j/')),
    [],
  );
  assert.equal(cluster.state.tooLarge, 0);
});

test('limits lower than any that were announced: a few refusals, then everything fits', async () => {
  const outcome = await play({ seed: 5, ordinaryUp: 30, capacity: 12 }, (cluster, second) => {
    if (second === 20) cluster.state.bounds = { valueBytes: 700, txnOps: 3 };
    if (second === 25 || second === 40) cluster.crash(cluster.leader() ?? 'n1', 150);
    const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
    if (second > 20 && second % 4 === 0 && machine?.worker) cluster.cloud.take(machine);
  });
  expectKept(outcome);
  assert.ok(outcome.cluster.state.tooLarge < 60, `${outcome.cluster.state.tooLarge} refusals`);
  const before = outcome.cluster.state.tooLarge;
  await outcome.cluster.run(20);
  assert.equal(outcome.cluster.state.tooLarge, before);
});

for (const seed of [21, 23, 24])
  test(`a roll amid a zone cut, late writes and the return of an old process that leads (${seed})`, async () => {
    let oldLed = false;
    const outcome = await play(
      { seed, nodes: 5, ordinaryUp: 20, capacity: 12 },
      (cluster, second) => {
        // The lease of the leader before may last until now; at 22 the old process is replaced.
        if (second === 21 || second === 22) oldLed ||= cluster.leader() === cluster.names[4];
        const node = cluster.names[Math.floor(second / 5)];
        if (second % 5 === 2 && node) {
          cluster.overrides.set(node, STRICT);
          cluster.crash(node, 800);
        }
        if (second === 3)
          cluster.state.lateWrites = { share: 0.1, until: cluster.clock.time + 20_000 };
        if (second === 8) {
          const inB = cluster.inZone('b');
          cluster.net.cuts.push({
            a: inB,
            b: (h) => !inB(h),
            until: cluster.clock.time + 9000,
            mode: 'hold',
          });
        }
        // All but the last one, which is still old, are away for a moment: it leads and writes under the old limits.
        if (second === 18) for (const name of cluster.names.slice(0, 4)) cluster.crash(name, 4000);
        if (second % 13 === 6) cluster.cancelNow(2, 2000);
        if (second === 30) cluster.state.bounds = { valueBytes: 1024, txnOps: 4 };
        if (second > 3 && second % 4 === 0)
          void cluster.user(cluster.newJob({ ...GANG, tasks: cluster.random.int(2, 6) }), null);
        if (second === 44) cluster.crash(cluster.leader() ?? 'n1', 150);
      },
    );
    expectKept(outcome);
    assert.equal(outcome.cluster.state.tooLarge, 0, 'nobody writes what is too large');
    assert.ok(oldLed, 'the old process led');
  });

for (const seed of [11, 12, 13])
  test(`a roll under load, then lower limits: gangs, cancellations, crashes, some back old (${seed})`, async () => {
    const next: Partial<PlatformSettings> = STRICT;
    const outcome = await play(
      { seed, nodes: 5, ordinaryUp: 20, capacity: 12 },
      (cluster, second) => {
        const node = cluster.names[Math.floor(second / 5)];
        if (second % 5 === 2 && node) {
          cluster.overrides.set(node, next);
          cluster.crash(node, 800);
        }
        // One whose turn has not come dies and comes back old.
        if (second === 9) cluster.crash(cluster.names[4], 150);
        if (second === 14) cluster.state.outage(6000);
        if (second % 13 === 6) cluster.cancelNow(2, 2000);
        if (second === 30) cluster.state.bounds = { valueBytes: 1024, txnOps: 4 };
        if (second > 26 && second % 4 === 0)
          void cluster.user(cluster.newJob({ ...GANG, tasks: cluster.random.int(2, 6) }), null);
        if (second === 40) cluster.crash(cluster.leader() ?? 'n1', 150);
        if (second === 50)
          for (const name of cluster.names) cluster.crash(name, cluster.random.between(100, 3000));
      },
    );
    expectKept(outcome);
    assert.equal(outcome.cluster.state.tooLarge, 0, 'nobody writes what is too large');
  });
