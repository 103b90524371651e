/**
 * Serves the stand-ins for the state service, the cloud and the workers on loopback in real time, submits one array
 * to a controller that was started with `docs/example/settings.toml`, and prints the answers until it is done.
 */
import { LoopbackServices } from './sim/loopback-services.js';
import { observedJob } from './sim/observed-job.js';
import {
  type JobStatus,
  type JobSubmission,
  type UserRequest,
  decodeJobResponse,
  pollRequest,
  submitRequest,
} from './sim/wire/users.js';

const CONTROLLER = { name: 'n0', address: '127.0.0.1:8080' };
const POLL_MS = 1000;

const JOB: JobSubmission = {
  id: 'run-000001',
  jobClass: 'batch',
  team: 'research',
  kind: 'array',
  priority: 'normal',
  tasks: 3,
  cpus: 2,
  gpus: 0,
  memoryGb: 4,
  image: 'img-1',
  imageGb: 1,
  machineTypes: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  durationS: 5,
  checkpointEveryS: 0,
  checkpointS: 0,
  deadlineS: null,
};

const standIns = new LoopbackServices({
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

/** What the answer tells of the job; null if the request was not accepted. */
async function ask({ method, path, body }: UserRequest): Promise<JobStatus | null> {
  const reply = await standIns.sendToController(CONTROLLER.address, method, path, body);
  console.log(`${method} ${path} -> ${reply.status} ${JSON.stringify(reply.body)}`);
  return decodeJobResponse(reply).job;
}

/** As PROTOCOL has it: a submission is repeated until it is accepted, then the user asks until the job is over. */
async function submitAndPoll(): Promise<void> {
  const accepted = await ask(submitRequest(JOB));
  const poll = async (): Promise<void> => {
    const job = await ask(pollRequest(JOB.id));
    if (job?.state === 'done') process.exit(0);
    setTimeout(() => void poll(), POLL_MS);
  };
  setTimeout(() => void (accepted?.id === JOB.id ? poll() : submitAndPoll()), POLL_MS);
}

standIns.invariants.jobs.set(JOB.id, observedJob(JOB, 0));
await standIns.start();
console.log('stand-ins are up; waiting for the controller');
void submitAndPoll();
