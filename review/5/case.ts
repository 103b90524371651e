/** A job that names its zone arrives while that zone has no machines to give: does it run once there are some again? */
import { setTimeout as delay } from 'node:timers/promises';
import { SERVICE, jobId } from '../../test/sim/jobs.js';
import type { JobSubmission } from '../../test/sim/wire/users.js';
import { type CaseContext, type Verdict, runCase, until } from '../lib-2/run-case.js';
import { ANKETSIS } from '../lib-2/settings.js';

const NODE = 'millstone-1';
const ZONE = 'a';
const JOB = jobId(1);
/** The cloud has one ordinary machine in each zone; 0.3 of that is none. */
const MACHINES_PER_POOL = 1;
/** In the site file it lasts 125 s. */
const SHORTAGE_MS = 15_000;
/** A machine boots within 9 s; 3 of 100 never do and have to be replaced. */
const WATCH_MS = 75_000;

const SUBMISSION: JobSubmission = {
  ...SERVICE,
  id: JOB,
  jobClass: 'form-intake',
  team: ANKETSIS.team,
  tasks: 1,
  cpus: 2,
  gpus: 0,
  memoryGb: 6.5,
  image: 'img-1',
  imageGb: 0.2,
  machineTypes: null,
  zone: ZONE,
  checkpointIntervalS: 0,
  saveS: 0,
};

/** For a while the cloud has no machines to give in the zone. */
function beginShortage({ deployment, record }: CaseContext): void {
  const { cloud } = deployment.services;
  const handle = cloud.handle.bind(cloud);
  record.add(`zone ${ZONE} has no machines to give for ${SHORTAGE_MS / 1000} s`);
  cloud.handle = (path, body) => {
    if (path !== '/machines' || body.yard !== ZONE) return handle(path, body);
    record.add(`cloud ${path} ${JSON.stringify(body)}: 503 {"error":"no capacity"}`);
    return { status: 503, body: { error: 'no capacity' } };
  };
  setTimeout(() => {
    cloud.handle = handle;
    record.add(`zone ${ZONE} has machines to give again`);
  }, SHORTAGE_MS);
}

async function run(context: CaseContext): Promise<Verdict> {
  const { deployment, record, users, trouble } = context;
  const { invariants } = deployment.services;
  await deployment.startAll();
  if (trouble) beginShortage(context);
  await users.submit(NODE, SUBMISSION);
  const hasRun = (): boolean => (invariants.jobs.get(JOB)?.firstStartAt ?? null) !== null;
  if (trouble) await delay(SHORTAGE_MS);
  try {
    await until('the task runs', WATCH_MS, hasRun);
  } catch {
    record.add(`no task of ${JOB} has started on any machine`);
  }
  await users.poll(NODE, JOB);
  return hasRun() ? 'held' : 'broken';
}

void runCase({ number: 5, site: ANKETSIS, machinesPerPool: MACHINES_PER_POOL, run });
