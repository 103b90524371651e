/**
 * Serves the stand-ins for the state service, the cloud and the workers on loopback in real time, submits one array
 * to a controller that was started with `docs/example/settings.toml`, and prints the answers until it is done.
 */
import { createServer } from 'node:http';
import { outgoing } from '../src/outgoing.js';
import { type Body, decodeMap, encode } from '../src/wire/cbor.js';
import { type CloudMachine, CloudService } from './sim/cloud.js';
import { VirtualClock } from './sim/clock.js';
import { GangCoordinator } from './sim/gang-coordinator.js';
import { type Handler, Network } from './sim/network.js';
import { SeededRandom } from './sim/random.js';
import { Rules, jobFacts } from './sim/rules.js';
import { StateService } from './sim/state-service.js';
import { POLL_MS as WORKER_POLL_MS, Worker } from './sim/worker.js';

const CONTROLLER = '127.0.0.1:8080';
const STATE_PORT = 2379;
const CLOUD_PORT = 8443;
const FIRST_WORKER_PORT = 9000;
const STEP_MS = 10;
const POLL_MS = 1000;
const TIMEOUT_MS = 5000;
const MACHINES_PER_POOL = 2;

const JOB: Body = {
  id: 'run-000001',
  grist: 'batch',
  miller: 'research',
  grind: 'array',
  precedence: 'normal',
  sacks: 3,
  vcpus: 2,
  gpus: 0,
  ram_gb: 4,
  seed: 'img-1',
  image_gb: 1,
  stone_kinds: null,
  yard: null,
  one_zone: false,
  scatter: false,
  loaned_stones: true,
  grind_s: 5,
  bin_every_s: 0,
  bin_s: 0,
  due_s: null,
};

const clock = new VirtualClock();
const random = new SeededRandom(1);
const network = new Network(clock, random);
const rules = new Rules(() => clock.time, 22_000, new Map([['research', 80]]));
const gangs = new GangCoordinator(clock, random);
const http = outgoing([CONTROLLER], MACHINES_PER_POOL);

function serve(port: number, handler: Handler): void {
  const server = createServer((request, response) => {
    const parts: Buffer[] = [];
    request.on('data', (part: Buffer) => parts.push(part));
    request.on('end', () => {
      const body = decodeMap(Buffer.concat(parts)) ?? {};
      const reply = handler(request.method ?? 'GET', request.url ?? '/', body, 'controller');
      void Promise.resolve(reply).then(({ status, body: answer }) => {
        response.writeHead(status, { 'content-type': 'application/cbor' }).end(encode(answer));
      });
    });
  });
  server.listen(port, '127.0.0.1');
}

const workerPort = (id: string): number => FIRST_WORKER_PORT + Number(id.slice(id.lastIndexOf('-') + 1));
const endpointOf = (id: string): string => `127.0.0.1:${workerPort(id)}`;

function bootWorker(machine: CloudMachine): Worker {
  const address = endpointOf(machine.id);
  const worker = new Worker(network, random, rules, gangs, {
    id: machine.id,
    address,
    type: machine.type,
    cpus: 16,
    zone: machine.zone,
    spot: machine.spot,
    reportMs: 1000,
    leaseMs: 8000,
    pollMs: WORKER_POLL_MS,
    nodes: [{ name: 'n0', address: CONTROLLER }],
    slow: 1,
    faulty: false,
  });
  serve(workerPort(machine.id), (method, path, body, from) => {
    const handler = network.hosts.get(address)?.handler;
    return handler ? handler(method, path, body, from) : { status: 503, body: {} };
  });
  return worker;
}

/** What the controller answers to a user, or to a worker's report. */
const toController: Handler = (method, path, body) =>
  http.send(CONTROLLER, method as 'GET' | 'POST', path, method === 'GET' ? null : body, TIMEOUT_MS);

async function ask(method: 'GET' | 'POST', path: string): Promise<Body> {
  const reply = await toController(method, path, JOB, 'user');
  console.log(`${method} ${path} -> ${reply.status} ${JSON.stringify(reply.body)}`);
  return reply.status === 200 || reply.status === 201 ? reply.body : {};
}

/** As PROTOCOL has it: a submission is repeated until it is accepted, then the user asks until the job is over. */
async function submitAndPoll(): Promise<void> {
  const accepted = await ask('POST', '/v1/jobs');
  const poll = async (): Promise<void> => {
    const { condition } = await ask('GET', `/v1/jobs/${String(JOB.id)}`);
    if (condition === 'done') process.exit(0);
    setTimeout(() => void poll(), POLL_MS);
  };
  setTimeout(() => void (accepted.id === JOB.id ? poll() : submitAndPoll()), POLL_MS);
}

async function run(startedAt: number): Promise<void> {
  await clock.runUntil(performance.now() - startedAt, () => undefined);
  setTimeout(() => void run(startedAt), STEP_MS);
}

network.hosts.set(CONTROLLER, { handler: toController, hangsUntil: 0 });
rules.jobs.set(String(JOB.id), jobFacts(JOB, 0));
const state = new StateService(clock, random);
const pools = ['a', 'b'].map((zone) => ({ type: 't16', zone, count: MACHINES_PER_POOL }));
const cloud = new CloudService(clock, random, pools, bootWorker, endpointOf);
serve(STATE_PORT, (method, path, body, from) => state.handle(method, path, body, from));
serve(CLOUD_PORT, (_method, path, body) => cloud.handle(path, body));
console.log('stand-ins are up; waiting for the controller');
void run(performance.now());
void submitAndPoll();
