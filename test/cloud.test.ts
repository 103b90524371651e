/** The client of the cloud API with a large fleet: lists of many pages at few calls per second. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cloud } from '../src/autoscaler/cloud.js';
import type { HttpResponse, Runtime } from '../src/runtime.js';
import type { ListedMachine } from '../src/wire/model.js';
import { CloudService } from './sim/cloud.js';
import { VirtualClock } from './sim/clock.js';
import { SeededRandom } from './sim/random.js';
import type { Worker } from './sim/worker.js';
import { quietLog } from './sim/quiet-log.js';

const RPS = 3;
const MACHINES = 4000;
/** Duration of a call, so short that only the call budget keeps a list within the rate limit. */
const CALL_MS = 40;

interface Setup {
  clock: VirtualClock;
  service: CloudService;
  cloud: Cloud;
}

/** Creates a cloud with many machines. A call to which `rejectCall` returns a response does not reach the service. */
async function createSetup(
  rejectCall: (path: string) => HttpResponse | null = () => null,
): Promise<Setup> {
  const clock = new VirtualClock();
  const random = new SeededRandom(1);
  const service = new CloudService(
    clock,
    random,
    [{ type: 't16', zone: 'a', count: MACHINES }],
    () => ({ kill: () => undefined }) satisfies Pick<Worker, 'kill'> as unknown as Worker,
    (id) => `w-${id}:9000`,
    RPS,
  );
  for (let i = 0; i < MACHINES; i++) service.add('t16', 'a', false, true);
  const runtime: Runtime = {
    clock: clock.processClock(1, () => true),
    http: {
      send: (_to, _method, path, body) =>
        new Promise((done) => {
          clock.after(CALL_MS, () => {
            done(rejectCall(path) ?? service.handle(path, body ?? {}));
          });
        }),
    },
    log: quietLog,
    random: () => 0.5,
  };
  await clock.runUntil(6000, () => undefined);
  return { clock, service, cloud: new Cloud(runtime, 'cloud:1', RPS) };
}

async function listWithin(setup: Setup, ms: number): Promise<ListedMachine[] | null> {
  let result: ListedMachine[] | null = null;
  void setup.cloud.listMachines(() => true).then((list) => (result = list));
  await setup.clock.runUntil(setup.clock.time + ms, () => undefined);
  return result;
}

test('a list of 4,000 machines is read in pages within the rate limit and leaves calls to request machines', async () => {
  const setup = await createSetup();
  let requestCount = 0;
  const requestEachSecond = (): void => {
    if (setup.cloud.tryAcquireCall()) {
      requestCount++;
      void setup.cloud.requestMachines(`r-${requestCount}`, 't16', 'b', false, 1);
    }
    setup.clock.after(1000, requestEachSecond);
  };
  setup.clock.after(500, requestEachSecond);
  for (let round = 0; round < 4; round++) {
    const startedAt = setup.clock.time;
    const list = await listWithin(setup, 12_000);
    assert.equal(new Set(list?.map((m) => m.id)).size, MACHINES, `round ${round} at ${startedAt}`);
  }
  assert.equal(setup.service.received.tooMany, 0);
  assert.ok(requestCount >= 40, `${requestCount} requests for machines in 48 s`);
  const pages = MACHINES / 500;
  assert.ok(
    setup.cloud.minListIntervalMs() >= (1000 * pages) / (RPS / 2),
    'lists take at most half of the calls',
  );
});

test('a rejected page is requested again, and only that page', async () => {
  let rejected = 0;
  let pages = 0;
  const setup = await createSetup((path) => {
    if (!path.startsWith('/machines?')) return null;
    pages++;
    if (pages !== 5) return null;
    rejected++;
    return { status: 503, body: { error: 'trouble' } };
  });
  const list = await listWithin(setup, 12_000);
  assert.equal(list?.length, MACHINES);
  assert.deepEqual([rejected, pages], [1, MACHINES / 500 + 1]);
});

test('a listing that is aborted sends no further calls', async () => {
  const setup = await createSetup();
  let wanted = true;
  let ended = false;
  void setup.cloud
    .listMachines(() => wanted)
    .then((list) => {
      ended = list === null;
    });
  await setup.clock.runUntil(setup.clock.time + 100, () => undefined);
  wanted = false;
  const { calls } = setup.service.received;
  await setup.clock.runUntil(setup.clock.time + 10_000, () => undefined);
  assert.ok(ended);
  assert.ok(setup.service.received.calls <= calls + 1, 'at most the call that was under way');
});
