/** Polls of users: freshness of the responses, and load on the state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { SERVICE } from './sim/jobs.js';
import { clientRuntime } from './sim/client-runtime.js';
import { quietLog } from './sim/quiet-log.js';
import { requestFrom } from './sim/user-request.js';
import { observedJob } from './sim/observed-job.js';
import { pollRequest, submitRequest } from './sim/wire/users.js';
import { StateStore } from '../src/state-store/client.js';
import { JobsApi } from '../src/jobs/api.js';
import { JobCache } from '../src/jobs/job-cache.js';
import type { ApiResponse } from '../src/jobs/responses.js';
import { jobStateResponse } from '../src/wire/users.js';

test('a job accepted by one controller is known to all at once, and many polls share reads of the state service', async () => {
  const cluster = new Cluster({ seed: 18 });
  cluster.network.lossRate = 0;
  await cluster.run(4);
  const ids: string[] = [];
  for (let i = 0; i < 10; i++) {
    const job = cluster.users.newJob({ ...SERVICE, tasks: 1 });
    cluster.invariants.jobs.set(job.id, observedJob(job, cluster.clock.time));
    assert.equal((await requestFrom(cluster, 'n0', submitRequest(job))).status, 201);
    ids.push(job.id);
    // A job accepted by one controller is known to the others at once.
    for (const name of ['n1', 'n2'])
      assert.equal((await requestFrom(cluster, name, pollRequest(job.id))).status, 200);
  }
  await cluster.run(3);
  // Both counts start here: the requests of 4 s without polls are subtracted from the total.
  const requestsAtStart = cluster.state.received.requests;
  const requestsBeforeIdle = cluster.state.received.requests;
  await cluster.run(4);
  const idleRequests = cluster.state.received.requests - requestsBeforeIdle;
  let responses = 0;
  for (let step = 0; step < 40; step++) {
    for (const { method, path, body } of ids.map(pollRequest))
      for (const name of cluster.nodeNames)
        void cluster.network
          .send('user', `${name}:80`, method, path, body, 2000)
          .then((r) => (responses += Number(r.status === 200)));
    await cluster.run(0.1);
  }
  await cluster.run(1);
  const cost = cluster.state.received.requests - requestsAtStart - idleRequests;
  assert.ok(responses > 1190, `${responses} responses`);
  assert.ok(cost < responses / 4, `${cost} requests for ${responses} responses`);
});

test('the job cache reloads all jobs when the changes since its last refresh have been compacted', async () => {
  const cluster = new Cluster({ seed: 20 });
  await cluster.run(3);
  const runtime = clientRuntime(cluster);
  cluster.network.lossRate = 0;
  const store = new StateStore(runtime, { address: 'state:1', nodes: 1, rps: 100, writeRps: 50 });
  const cache = new JobCache(runtime, store, 50);
  const refreshCache = async (): Promise<boolean | null> => {
    let refreshed: boolean | null = null;
    void cache.refresh().then((ok) => (refreshed = ok));
    await cluster.run(1);
    return refreshed;
  };
  assert.equal(await refreshCache(), true);
  for (let i = 0; i < 10_050; i++) cluster.state.putDirectly(i === 5 ? 'j/run-1' : 'x/1', {});
  assert.equal(await refreshCache(), true);
  assert.equal(cache.get('run-1')?.record, null);
  assert.equal(cache.get('run-2'), undefined);
  cluster.state.beginOutage(3000);
  assert.equal(await refreshCache(), false);
});

// Guards against an answer that is older than what another controller told meanwhile.
test('a poll that has waited for the progress of a job tells that it was cancelled in the meantime', async () => {
  const cluster = new Cluster({ seed: 22 });
  cluster.network.lossRate = 0;
  await cluster.run(4);
  const job = cluster.users.newJob({ ...SERVICE, tasks: 1 });
  cluster.invariants.jobs.set(job.id, observedJob(job, cluster.clock.time));
  assert.equal((await requestFrom(cluster, 'n0', submitRequest(job))).status, 201);
  const runtime = clientRuntime(cluster);
  const store = new StateStore(runtime, { address: 'state:1', nodes: 1, rps: 100, writeRps: 50 });
  let isKnown = false;
  const api = new JobsApi({
    settings: { teams: [] },
    store,
    cache: new JobCache(runtime, store, 50),
    mayServe: () => true,
    types: () => [],
    progress: {
      progressOf: () => (isKnown ? { done: 0, running: 1 } : null),
      untilKnown: async () => {
        await cluster.users.cancel(job.id, 'n1');
        isKnown = true;
      },
    },
    beforeConfirm: () => undefined,
    wallMs: () => 0,
    log: quietLog,
  });
  let response: ApiResponse | null = null;
  void api.poll(job.id).then((answer) => (response = answer));
  await cluster.run(4);
  assert.deepEqual(response!.body, jobStateResponse(job.id, 'cancelled', { done: 0, running: 0 }));
});
