/**
 * Serves the stand-ins for the state service, the cloud and the workers on loopback in real time, submits one array
 * to a controller that was started with `docs/example/settings.toml`, and prints the answers until it is done.
 */
import type { Body } from '../src/wire/cbor.js';
import { LoopbackStandIns } from './sim/loopback.js';
import { jobFacts } from './sim/rules.js';

const CONTROLLER = { name: 'n0', address: '127.0.0.1:8080' };
const POLL_MS = 1000;

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

const standIns = new LoopbackStandIns({
  seed: 1,
  controllers: [CONTROLLER],
  machinesPerPool: 2,
  reportMs: 1000,
  leaseMs: 8000,
  cancelMs: 22_000,
  limits: new Map([['research', 80]]),
  statePort: 2379,
  cloudPort: 8443,
});

async function ask(method: 'GET' | 'POST', path: string): Promise<Body> {
  const reply = await standIns.ask(CONTROLLER.address, method, path, JOB);
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

standIns.rules.jobs.set(String(JOB.id), jobFacts(JOB, 0));
await standIns.start();
console.log('stand-ins are up; waiting for the controller');
void submitAndPoll();
