/** The API for users: status codes, validation of submissions, and encoding. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readJob } from '../src/wire/users.js';
import { readHeartbeat } from '../src/wire/workers.js';
import { decodeMap, encode, toNumber, toWireInteger } from '../src/wire/cbor.js';
import { Cluster } from './sim/cluster.js';
import { requestFrom } from './sim/user-request.js';
import { observedJob } from './sim/observed-job.js';
import type { Body } from '../src/wire/cbor.js';
import {
  type JobSubmission,
  cancelRequest,
  pollRequest,
  rawSubmitRequest,
  submissionWithRawFields,
  submissionWithout,
  submitRequest,
} from './sim/wire/users.js';
import { heartbeatOfNameOnly } from './sim/wire/workers.js';

function losslessCluster(seed: number): Cluster {
  const cluster = new Cluster({ seed });
  cluster.network.lossRate = 0;
  return cluster;
}

test('submissions get 400 if malformed, 422 if the job can never run and 200 if repeated; unknown jobs get 404', async () => {
  const cluster = losslessCluster(5);
  await cluster.run(3);
  const job = cluster.users.newJob({ kind: 'array', jobClass: 'batch', tasks: 3, spread: false });
  const status = async (overrides: Partial<JobSubmission>): Promise<number> =>
    (await requestFrom(cluster, 'n0', submitRequest({ ...job, ...overrides }))).status;
  const statusOfRaw = async (
    overrides: Parameters<typeof submissionWithRawFields>[1],
  ): Promise<number> =>
    (await requestFrom(cluster, 'n0', rawSubmitRequest(submissionWithRawFields(job, overrides))))
      .status;
  for (const overrides of [
    { id: 'x' },
    { tasks: 0 },
    { tasks: 100_001 },
    { tasks: 1.5 },
    { kind: 'cron' },
    { priority: 'urgent' },
    { cpus: -1 },
    { oneZone: 'yes' },
    { machineTypes: 'g8' },
    { image: undefined },
  ])
    assert.equal(await statusOfRaw(overrides), 400, JSON.stringify(overrides));
  assert.equal(await status({ team: 'nobody' }), 422);
  assert.equal(await status({ cpus: 17 }), 422);
  assert.equal(await status({ zone: 'nowhere' }), 422);
  assert.equal(
    await status({ kind: 'service', tasks: 41 }),
    422,
    'a service that exceeds the limit of its team as a whole',
  );
  assert.equal(
    await status({ kind: 'gang', tasks: 41 }),
    422,
    'a gang that exceeds the limit of its team as a whole',
  );
  assert.equal((await requestFrom(cluster, 'n0', pollRequest(job.id))).status, 404);
  assert.equal((await requestFrom(cluster, 'n0', cancelRequest('run-999999'))).status, 404);
  cluster.invariants.jobs.set(job.id, observedJob(job, cluster.clock.time));
  assert.equal(await status({}), 201);
  assert.equal(await status({}), 200);
  await cluster.run(40);
  const after = await requestFrom(cluster, 'n0', submitRequest(job));
  assert.deepEqual([after.status, after.job?.state], [200, 'done']);
  const late = await requestFrom(cluster, 'n0', cancelRequest(job.id));
  assert.equal(late.job?.state, 'done');
  assert.deepEqual(cluster.invariants.violations, []);
});

/** Invalid values of each field. They are sent as listed: not even a job kind is mapped to its value on the wire. */
const INVALID: Record<keyof JobSubmission, unknown[]> = {
  id: ['x', 'run-', 'run-1x', 7, ''],
  jobClass: ['', 3],
  team: ['', null],
  kind: ['cron', 'gang', 'constructor', null, 1],
  priority: ['urgent', null],
  tasks: [0, -1, 1.5, 100_001, '4', null],
  cpus: [-1, '2', null],
  gpus: [-1, true],
  memoryGb: [-0.5, 'x'],
  image: ['', 4],
  imageGb: [-1, null],
  oneZone: ['yes', null, 1],
  spread: [0, null],
  spot: ['', null],
  durationS: [-1, null],
  checkpointIntervalS: [-1, 'x'],
  saveS: [-2, null],
  machineTypes: ['t16', [1], {}],
  zone: [4, ''],
  deadlineS: [-1, 'soon'],
};
const NULLABLE: (keyof JobSubmission)[] = ['machineTypes', 'zone', 'deadlineS'];

test('a submission with a missing or invalid field gets 400, from every controller and when repeated', async () => {
  const cluster = losslessCluster(8);
  await cluster.run(3);
  const job = cluster.users.newJob({ kind: 'array', jobClass: 'batch', tasks: 3, spread: false });
  const bad: Body[] = [];
  for (const field of Object.keys(INVALID) as (keyof JobSubmission)[]) {
    assert.notEqual(job[field], undefined, field);
    if (!NULLABLE.includes(field)) bad.push(submissionWithout(job, field));
    for (const value of INVALID[field]) bad.push(submissionWithRawFields(job, { [field]: value }));
  }
  for (const body of bad)
    for (const node of [...cluster.nodeNames, 'n1'])
      assert.equal(
        (await requestFrom(cluster, node, rawSubmitRequest(body))).status,
        400,
        JSON.stringify(body),
      );
  assert.equal((await requestFrom(cluster, 'n0', pollRequest(job.id))).status, 404);
});

test('a job that can never run gets 422, from every controller and when repeated', async () => {
  const cluster = losslessCluster(9);
  await cluster.run(3);
  const never: Partial<JobSubmission>[] = [
    { team: 'nobody' },
    { cpus: 17 },
    { memoryGb: 65 },
    { gpus: 1 },
    { zone: 'nowhere' },
    { machineTypes: [] },
    { machineTypes: ['t17'] },
    { kind: 'service', tasks: 41 },
    { spread: true, tasks: 2, zone: 'a' },
    { spread: true, tasks: 2, oneZone: true },
  ];
  for (const overrides of never) {
    const job = cluster.users.newJob({
      kind: 'array',
      tasks: 3,
      spread: false,
      oneZone: false,
      ...overrides,
    });
    for (const node of [...cluster.nodeNames, 'n2'])
      assert.equal(
        (await requestFrom(cluster, node, submitRequest(job))).status,
        422,
        JSON.stringify(overrides),
      );
    assert.equal((await requestFrom(cluster, 'n0', pollRequest(job.id))).status, 404);
  }
  const oneZone = new Cluster({ seed: 10, zones: ['a'] });
  oneZone.network.lossRate = 0;
  oneZone.network.repeatRate = 0;
  await oneZone.run(3);
  const spreadService = oneZone.users.newJob({
    kind: 'service',
    spread: true,
    oneZone: false,
    tasks: 2,
  });
  assert.equal((await requestFrom(oneZone, 'n0', submitRequest(spreadService))).status, 422);
});

test('in an outage of the state service, submissions and polls get 503 within 1 s, and no poll gets 404', async () => {
  const cluster = losslessCluster(6);
  await cluster.run(3);
  cluster.state.beginOutage(5000);
  const before = cluster.clock.time;
  const response = await requestFrom(cluster, 'n0', submitRequest(cluster.users.newJob()));
  assert.equal(response.status, 503);
  assert.equal((await requestFrom(cluster, 'n0', pollRequest('run-000009'))).status, 503);
  assert.ok(cluster.clock.time - before < 1000);
});

test('integers above 32 bits are encoded as integers, and malformed CBOR decodes to null', () => {
  const value = 2 ** 45 + 1;
  const back = decodeMap(encode({ v: toWireInteger(value) }))!;
  assert.equal(typeof back.v, 'bigint');
  assert.equal(toNumber(back.v), value);
  assert.equal(decodeMap(new Uint8Array([0xff])), null);
  assert.equal(decodeMap(encode([1])), null);
});

test('a malformed heartbeat is rejected, and so is a submission without an id', () => {
  assert.equal(readHeartbeat(heartbeatOfNameOnly('i-1')), null);
  assert.deepEqual(readJob({}), { kind: 'invalid', field: 'id' });
});
