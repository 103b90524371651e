/** A user cancels a job, and no other needs CPUs: does a service whose tasks take none go on running? */
import { setTimeout as delay } from 'node:timers/promises';
import { SERVICE, jobId } from '../../test/sim/jobs.js';
import type { JobSubmission } from '../../test/sim/wire/users.js';
import { type CaseContext, type Verdict, runCase, until } from '../lib-2/run-case.js';
import { SHIFA } from '../lib-2/settings.js';

const NODE = 'millstone-1';
const KEPT = jobId(1);
const OTHER = jobId(2);
/** Time from the cancellation, or the same moment without it, until the service has to be on a machine still. */
const WATCH_MS = 60_000;

function service(id: string, cpus: number): JobSubmission {
  return {
    ...SERVICE,
    id,
    jobClass: 'order-desk',
    team: SHIFA.team,
    tasks: 1,
    cpus,
    gpus: 0,
    memoryGb: 0.5,
    image: 'img-1',
    imageGb: 0.2,
    machineTypes: null,
    zone: null,
    checkpointIntervalS: 0,
    saveS: 0,
  };
}

async function run({ deployment, record, users, trouble }: CaseContext): Promise<Verdict> {
  const { invariants, cloud } = deployment.services;
  const runs = (id: string): boolean => invariants.placesByTask.has(`${id}/0`);
  await deployment.startAll();
  await users.submit(NODE, service(OTHER, 2));
  await users.submit(NODE, service(KEPT, 0));
  await until('both services run', 30_000, () => runs(KEPT) && runs(OTHER));
  await delay(3000);
  if (trouble) await users.cancel(NODE, OTHER);
  await delay(WATCH_MS);
  await users.poll(NODE, KEPT);
  record.add(`${KEPT}/0 is on ${runs(KEPT) ? 'a machine' : 'no machine'}`);
  record.add(`${cloud.machines.size} machines are rented`);
  return runs(KEPT) ? 'held' : 'broken';
}

void runCase({ number: 7, site: SHIFA, machinesPerPool: 2, run });
