/**
 * Serves the simulated state service, cloud and workers on loopback in real time, submits one array to a controller
 * that was started with `docs/example/settings.toml`, and prints the responses until the job is done.
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

const simulatedServices = new LoopbackServices({
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

/** Sends a request and prints the response. Returns the job status in it, or null if the request was not accepted. */
async function sendRequest({ method, path, body }: UserRequest): Promise<JobStatus | null> {
  const response = await simulatedServices.sendToController(CONTROLLER.address, method, path, body);
  console.log(`${method} ${path} -> ${response.status} ${JSON.stringify(response.body)}`);
  return decodeJobResponse(response).job;
}

/** As the protocol requires, repeats the submission until it is accepted, then polls until the job is done. */
async function submitAndPoll(): Promise<void> {
  const accepted = await sendRequest(submitRequest(JOB));
  const poll = async (): Promise<void> => {
    const job = await sendRequest(pollRequest(JOB.id));
    if (job?.state === 'done') process.exit(0);
    setTimeout(() => void poll(), POLL_MS);
  };
  setTimeout(() => void (accepted?.id === JOB.id ? poll() : submitAndPoll()), POLL_MS);
}

simulatedServices.invariants.jobs.set(JOB.id, observedJob(JOB, 0));
await simulatedServices.start();
console.log('simulated services are up; waiting for the controller');
void submitAndPoll();
