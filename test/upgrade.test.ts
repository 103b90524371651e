/** Compatibility with records and messages of older and later versions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { terminalKey, liveKey, readTerminal, readLive } from '../src/jobs/records.js';
import { FrameDecoder, encodeFrame } from '../src/peers/framing.js';
import { readPeerMessage } from '../src/peers/peer-messages.js';
import { readMachinePage } from '../src/workers/machine-records.js';
import type { JobSpec } from '../src/wire/model.js';
import { OLDEST_VERSION, OLDER_VERSIONS } from './sim/older-versions.js';
import { Cluster } from './sim/cluster.js';
import { LEASE_MS } from './sim/cluster-config.js';
import { BATCH, SERVICE, GANG } from './sim/jobs.js';
import type { JobSubmission, SubmittedKind } from './sim/wire/users.js';
import { observedJob } from './sim/observed-job.js';

for (const older of OLDER_VERSIONS)
  test(`records and messages of ${older.version} can be read`, () => {
    const kinds = new Set<string>();
    for (const [key, value] of Object.entries(older.items)) {
      const pair = { key, value, version: 3 };
      kinds.add(key.slice(0, 2));
      if (key.startsWith('j/')) assert.equal(readLive(value)?.spec.id, key.slice(2));
      if (key.startsWith('e/')) assert.notEqual(readTerminal(value), null, key);
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

/** Returns the names and types of all fields, to compare records for what a reader relies on. */
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
    // Nullable fields are compared as if they were null.
    const text = JSON.stringify(shapeOf(value)).replace(
      /"(deadlineS|types|zone)":("number"|"string"|\[.*?\])/g,
      '"$1":"null"',
    );
    shapes.set(kind, (shapes.get(kind) ?? new Set()).add(text));
  }
  return shapes;
}

/** Fields that messages of this version have beside those of older versions, which skip them. */
const ADDED_FIELDS: Partial<Record<string, string[]>> = {
  progress: ['epoch', 'heard', 'uncertain'],
};

test('records and messages of this version have the fields of older versions', async () => {
  const cluster = new Cluster({ seed: 31, ordinaryUp: 20, capacity: 12 });
  const sent = new Map<string, unknown>();
  cluster.peerLinks.onMessage((m) => sent.set(m.t, m));
  await cluster.run(5);
  void cluster.users.run(cluster.users.newJob({ ...SERVICE, team: 't0' }), null);
  void cluster.users.run(
    cluster.users.newJob({ ...BATCH, team: 't1', tasks: 60, durationS: 9 }),
    null,
  );
  void cluster.users.run(
    cluster.users.newJob({ ...GANG, team: 't0', tasks: 4, durationS: 60 }),
    null,
  );
  void cluster.users.run(
    cluster.users.newJob({ ...BATCH, team: 't0', tasks: 3, durationS: 2 }),
    null,
  );
  const cancelled = cluster.users.newJob({ ...GANG, team: 't0', tasks: 2, durationS: 40 });
  void cluster.users.run(cancelled, 16_000);
  await cluster.run(20);
  const items = [...cluster.state.items].map(([key, item]): [string, unknown] => [key, item.value]);
  const written = shapesByKind(items);
  for (const older of OLDER_VERSIONS)
    for (const [kind, shapes] of shapesByKind(Object.entries(older.items)))
      for (const shape of shapes)
        assert.ok(written.get(kind)?.has(shape), `${older.version}: ${kind} ${shape}`);
  for (const older of OLDER_VERSIONS)
    for (const [kind, bytes] of Object.entries(older.frames)) {
      const message = new FrameDecoder().push(Buffer.from(bytes, 'base64'))![0];
      const expected = [...Object.keys(message), ...(ADDED_FIELDS[kind] ?? [])];
      assert.deepEqual(Object.keys(sent.get(kind) as object).sort(), expected.sort(), kind);
      assert.ok(readPeerMessage(message), `${kind} of an older build`);
    }
});

test('peer messages of unknown kinds, or without required fields, are skipped', () => {
  assert.equal(readPeerMessage({ t: 'future', from: 'n1' }), null);
  assert.equal(readPeerMessage({ t: 'constructor', from: 'n1' }), null);
  assert.equal(readPeerMessage({ t: 'attest', from: 'n1', life: 'x' }), null);
  assert.equal(readPeerMessage({ t: 'served', from: 'n1', served: true, more: 1 })?.t, 'served');
  assert.equal(readPeerMessage({ t: 'progress', from: 'n1', jobs: [], heard: 1 }), null);
  const known = encodeFrame({ t: 'served', from: 'n1', served: true });
  const decoder = new FrameDecoder();
  const unknown = encodeFrame({ t: 'future', from: 'n1' } as never);
  assert.deepEqual(
    decoder.push(Buffer.concat([unknown, known]))?.map((m) => m.t),
    ['served'],
  );
});

/** Registers previously stored jobs with the invariants. Returns the ids of those that are not cancelled. */
function observeStoredJobs(cluster: Cluster, live: [string, unknown][]): Set<string> {
  const waiting = new Set<string>();
  const kinds: Record<SubmittedKind, Partial<JobSubmission>> = {
    array: BATCH,
    service: { ...BATCH, kind: 'service' },
    gang: GANG,
  };
  for (const [key, value] of live) {
    const { spec, cancelled } = readLive(value)!;
    const id = key.slice(2);
    const job = cluster.users.newJob(kinds[spec.kind]);
    const observed = observedJob(
      { ...job, id, tasks: spec.tasks, team: spec.team, durationS: 2 },
      0,
    );
    observed.reportedAccepted = true;
    observed.cancelRequested = cancelled;
    cluster.invariants.jobs.set(id, observed);
    if (!cancelled) waiting.add(id);
  }
  return waiting;
}

for (const older of OLDER_VERSIONS)
  test(`a cluster continues live, cancelled and partly finished jobs from records of ${older.version}`, async () => {
    const cluster = new Cluster({ seed: 1, ordinaryUp: 0 });
    // The cloud never reuses a name: a new spot machine must not be mistaken for a stored ordinary one.
    cluster.cloud.numberMachinesFrom(1000);
    for (const name of cluster.nodeNames) cluster.crash(name, 1000);
    for (const [key, value] of Object.entries(older.items)) cluster.state.putDirectly(key, value);
    const live = Object.entries(older.items).filter(([key]) => key.startsWith('j/'));
    const waiting = observeStoredJobs(cluster, live);
    // The stored machines no longer exist. Their jobs wait until that is proved.
    await cluster.run(90);
    for (const id of waiting) {
      const job = cluster.invariants.jobs.get(id)!;
      assert.ok(job.firstStartAt !== null, `${id} was continued`);
      if (job.spec.kind !== 'service')
        assert.deepEqual(cluster.state.value(terminalKey(id)), {
          state: 'done',
          tasks: job.spec.tasks,
        });
    }
    for (const [key] of live)
      if (!waiting.has(key.slice(2)))
        assert.equal(
          (cluster.state.value(terminalKey(key.slice(2))) as { state: string }).state,
          'cancelled',
        );
    assert.deepEqual(
      cluster.invariants.violations.filter((violation) => !violation.includes('not_done')),
      [],
    );
  });

/** Stores a live job as a later version would, with fields that this version does not know. */
function putRecordOfLaterVersion(cluster: Cluster, id: string): JobSpec {
  const [, storedRecord] = Object.entries(OLDEST_VERSION.items).find(
    ([key, value]) => key.startsWith('j/') && !readLive(value)!.cancelled,
  )!;
  const spec = (storedRecord as { spec: JobSpec }).spec;
  cluster.state.putDirectly(liveKey(id), {
    ...(storedRecord as object),
    spec: { ...spec, id, hue: 3 },
    later: { deep: [1] },
  });
  return spec;
}

test('unknown fields of a record are kept when it is rewritten', async () => {
  const cluster = new Cluster({ seed: 2 });
  await cluster.run(4);
  const id = 'run-000900';
  const spec = putRecordOfLaterVersion(cluster, id);
  cluster.invariants.jobs.set(
    id,
    observedJob(cluster.users.newJob({ ...BATCH, id, team: spec.team }), 0),
  );
  // A hanging machine keeps the job live for a while.
  for (const machine of cluster.cloud.machines.values())
    if (machine.worker) cluster.faults.hangMachine(machine.id, LEASE_MS);
  void cluster.users.cancel(id);
  await cluster.run(3);
  const now = cluster.state.value(liveKey(id)) as Record<string, unknown> | undefined;
  if (now)
    assert.deepEqual(
      [now.later, (now.spec as { hue?: number }).hue, now.cancelled],
      [{ deep: [1] }, 3, true],
    );
  const cancelledRecord = cluster.state
    .history(liveKey(id))
    .find((v) => (v as { cancelled?: boolean }).cancelled);
  assert.deepEqual((cancelledRecord as { later: unknown }).later, { deep: [1] });

  const page = cluster.state.value('m/page-0') as { machines: { id: string }[] };
  const machinesWithRack = page.machines.map((m) => ({ ...m, rack: 7 }));
  cluster.state.putDirectly('m/page-0', { machines: machinesWithRack, note: 'kept' });
  const versionsBefore = cluster.state.history('m/page-0').length;
  cluster.crash(cluster.leader()!, 150);
  await cluster.run(8);
  cluster.cloud.preempt(
    machinesWithRack.map((m) => cluster.cloud.machines.get(m.id)).find((m) => m !== undefined)!,
  );
  await cluster.run(12);
  const after = cluster.state.history('m/page-0').slice(versionsBefore) as {
    note?: string;
    machines: { rack?: number }[];
  }[];
  assert.ok(after.length > 0, 'the page was rewritten');
  for (const { note, machines } of after) assert.deepEqual([note, machines[0].rack], ['kept', 7]);
  assert.deepEqual(cluster.invariants.violations, []);
});
