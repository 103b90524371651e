/** A spread service whose machine fails in a quiet hour: is its lost replica ever started again? */
import { setTimeout as delay } from 'node:timers/promises';
import { SERVICE, jobId } from '../../test/sim/jobs.js';
import type { JobSubmission } from '../../test/sim/wire/users.js';
import { type CaseContext, type Verdict, runCase, until } from '../lib-2/run-case.js';
import { ANKETSIS } from '../lib-2/settings.js';

const NODE = 'millstone-1';
const REPLICAS = 3;
const KEPT = jobId(1);
const OTHER = jobId(2);
/** Time between the end of the other job and the failure. */
const QUIET_MS = 20_000;
/** A machine that dies is listed as running for this long. */
const LISTED_AS_RUNNING_MS = 30_000;
/** The list is 4 s late at most, and a machine boots within 9 s. */
const WATCH_MS = 55_000;

function service(id: string, tasks: number): JobSubmission {
  return {
    ...SERVICE,
    id,
    tasks,
    jobClass: 'form-intake',
    team: ANKETSIS.team,
    cpus: 2,
    gpus: 0,
    memoryGb: 6.5,
    image: 'img-1',
    imageGb: 0.2,
    machineTypes: null,
    zone: null,
    checkpointIntervalS: 0,
    saveS: 0,
  };
}

async function run({ deployment, record, users, trouble }: CaseContext): Promise<Verdict> {
  const { invariants, cloud, clock } = deployment.services;
  const running = (id: string): number =>
    [...invariants.placesByTask.keys()].filter((task) => task.startsWith(`${id}/`)).length;
  await deployment.startAll();
  await users.submit(NODE, service(KEPT, REPLICAS));
  await users.submit(NODE, service(OTHER, 1));
  await until('all replicas run', 30_000, () => running(KEPT) + running(OTHER) > REPLICAS);
  await users.cancel(NODE, OTHER);
  await delay(QUIET_MS);
  const host = invariants.placesByTask.get(`${KEPT}/0`)?.[0].machine ?? '';
  const machine = cloud.machines.get(host);
  if (!machine || running(KEPT) !== REPLICAS) throw new Error('the service does not run');
  if (trouble) {
    record.add(`machine ${host} stops by itself`);
    machine.worker?.kill();
    clock.after(LISTED_AS_RUNNING_MS, () => (machine.state = 'failed'));
  }
  const deadline = performance.now() + WATCH_MS;
  await delay(1000);
  while (running(KEPT) < REPLICAS && performance.now() < deadline) await delay(100);
  await users.poll(NODE, KEPT);
  record.add(`${running(KEPT)} of ${REPLICAS} replicas of ${KEPT} are on machines`);
  return running(KEPT) < REPLICAS ? 'broken' : 'held';
}

void runCase({ number: 7, site: ANKETSIS, machinesPerPool: 4, run });
