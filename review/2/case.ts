/** A gang that is moved off a slow machine is cancelled while its tasks save. */
import { setTimeout as delay } from 'node:timers/promises';
import { GANG } from '../../test/sim/jobs.js';
import { type JobSubmission, cancelRequest } from '../../test/sim/wire/users.js';
import { type Deployment, TEAMS, arrayJob } from '../lib/deployment.js';
import { runCase } from '../lib/run-case.js';
import { SHIFA_COLLECT } from '../lib/settings.js';
import { ask, submit, until } from '../lib/users.js';

const LEADER = 'millstone-0';
/** Run time of the gangs from which the usual run time of the class is learned. */
const USUAL_S = 36;
/** "time a task needs to save when it is stopped" */
const SAVE_S = 40;
/** "a faulty machine can be much slower" */
const SLOWNESS = 3;

function gangJob(number: number, overrides: Partial<JobSubmission>): JobSubmission {
  return arrayJob(number, {
    ...GANG,
    jobClass: 'route-pack',
    zone: 'a',
    cpus: 1,
    durationS: USUAL_S,
    checkpointIntervalS: 20,
    saveS: 5,
    ...overrides,
  });
}

const placesOf = (deployment: Deployment, id: string): string[] =>
  [...deployment.services.invariants.placesByTask]
    .filter(([task]) => task.startsWith(`${id}/`))
    .flatMap(([, places]) => places.map(({ machine }) => machine));

/** Runs two gangs to their end, so that the usual run time of their class is known. */
async function learnRunTime(deployment: Deployment): Promise<void> {
  for (const number of [1, 2]) await submit(deployment, LEADER, gangJob(number, {}));
  const { jobs } = deployment.services.invariants;
  await until('the first gangs are done', (USUAL_S + 15) * 1000, () =>
    ['run-000001', 'run-000002'].every((id) => jobs.get(id)?.finishedTasks.size === GANG.tasks),
  );
}

/** Makes the machine slow, and runs tasks of two arrays on every machine. */
async function runArrays(deployment: Deployment, machine: string, trouble: boolean): Promise<void> {
  const { services, recorder } = deployment;
  const worker = services.cloud.machines.get(machine)?.worker;
  if (!worker) throw new Error(`${machine} is not up`);
  if (trouble) {
    recorder.note(`${machine} becomes slower by a factor of ${SLOWNESS}`);
    worker.config.slow = SLOWNESS;
  }
  const short = { durationS: 1.5, imageGb: 0.1 };
  const one = arrayJob(4, { ...short, tasks: 8, cpus: 9 });
  const other = arrayJob(5, { ...short, tasks: 16, cpus: 3, team: TEAMS[1] });
  await submit(deployment, LEADER, one);
  // The tasks of the first array take their machines before the second array comes.
  await delay(300);
  await submit(deployment, LEADER, other);
}

async function play(deployment: Deployment, trouble: boolean): Promise<void> {
  const { recorder } = deployment;
  await learnRunTime(deployment);
  const gang = gangJob(3, { durationS: 90, saveS: SAVE_S });
  await submit(deployment, LEADER, gang);
  await until('the gang runs', 6000, () => placesOf(deployment, gang.id).length === GANG.tasks);
  await runArrays(deployment, placesOf(deployment, gang.id)[0], trouble);
  const isStopped = (): boolean => recorder.stopped.has(`${gang.id}/0`);
  if (trouble) await until('the gang is told to stop', 20_000, isStopped);
  else await delay(15_000);
  await delay(1000);
  const observed = deployment.services.invariants.jobs.get(gang.id);
  if (observed) observed.cancelRequested = true;
  await ask(deployment, 'millstone-1', gang.id, cancelRequest(gang.id));
  await delay((SHIFA_COLLECT.cancelS + 3) * 1000);
  for (const machine of placesOf(deployment, gang.id))
    recorder.note(`a task of ${gang.id} is still on ${machine}`);
}

runCase({
  rule: 'ran_cancelled',
  recordPath: 'review/2/record.txt',
  machinesPerZone: 4,
  site: SHIFA_COLLECT,
  play,
});
