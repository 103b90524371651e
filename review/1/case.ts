/** A late request for a lease extension, sent by a process of a controller that has been replaced meanwhile. */
import { setTimeout as delay } from 'node:timers/promises';
import { type Deployment, arrayJob } from '../lib/deployment.js';
import { runCase } from '../lib/run-case.js';
import { ANKETSIS_PAZAR } from '../lib/settings.js';
import { submit, until } from '../lib/users.js';

const LEADER = 'millstone-0';
/** The only controller in zone b. */
const RESTARTED = 'millstone-1';
const JOBS = 20;
/** Time for which the restarted controller's first process runs. */
const UP_MS = 20_000;
/** "back about 5 s after an end" */
const RESTART_MS = 5000;
const HELD_MS = 1500;
const CUT_MS = 55_000;

async function startJobs(deployment: Deployment): Promise<void> {
  for (let i = 1; i <= JOBS; i++)
    await submit(
      deployment,
      LEADER,
      arrayJob(i, { tasks: 1, cpus: 8, durationS: 200, image: `img-${i}`, imageGb: 0.1 }),
    );
  await until('all tasks run', 20_000, () => deployment.zonesOfTasks().size === JOBS);
  const zones = [...deployment.zonesOfTasks().values()];
  if (!zones.includes('b')) throw new Error('no task runs in zone b');
}

/** Ends the controller while what it has just sent to the leader is held up, and starts it again. */
async function restart(deployment: Deployment): Promise<void> {
  const { recorder } = deployment;
  const link = deployment.link(RESTARTED, LEADER);
  recorder.note(`packets from ${RESTARTED} to ${LEADER} are held up`);
  link.holdPresent();
  await delay(HELD_MS);
  await deployment.kill(RESTARTED);
  await delay(RESTART_MS);
  deployment.start(RESTARTED);
  await until(`${RESTARTED} healthy`, 10_000, () => deployment.isHealthy(RESTARTED));
  await delay(2000);
  recorder.note(`${link.release()} bytes that were held up reach ${LEADER}`);
  await delay(1000);
}

async function play(deployment: Deployment, trouble: boolean): Promise<void> {
  await startJobs(deployment);
  await until('up time', UP_MS, () => deployment.upMs(RESTARTED) >= UP_MS);
  if (trouble) {
    await restart(deployment);
    deployment.cutOffZone('b', CUT_MS);
  }
  await delay(CUT_MS + 3000);
}

runCase({
  rule: 'ran_twice',
  recordPath: 'review/1/record.txt',
  machinesPerZone: 10,
  site: ANKETSIS_PAZAR,
  play,
});
