/** Two zones can't reach each other: does a controller that is cut off from the leader still tell the present state? */
import { setTimeout as delay } from 'node:timers/promises';
import { SERVICE, jobId } from '../../test/sim/jobs.js';
import type { JobSubmission } from '../../test/sim/wire/users.js';
import { type CaseContext, type Verdict, runCase, until } from '../lib-2/run-case.js';
import { SHIFA } from '../lib-2/settings.js';

const LEADER = 'millstone-0';
/** In zone `b`; the leader is in zone `a`. */
const ASKED = 'millstone-1';
/** The length of `zone_partition` in the site file. */
const CUT_MS = 15_000;
const MACHINES_PER_POOL = 4;
const MAX_LAG_MS = 3000;
/** Time that the stand-ins may take to notice a start, and a request to arrive. */
const MARGIN_MS = 500;
const POLL_MS = 1000;

function service(number: number, zone: string | null): JobSubmission {
  return {
    ...SERVICE,
    id: jobId(number),
    jobClass: 'order-desk',
    team: SHIFA.team,
    tasks: 1,
    cpus: 2,
    gpus: 0,
    memoryGb: 3.4,
    image: 'img-1',
    imageGb: 0.2,
    machineTypes: null,
    zone,
    checkpointIntervalS: 0,
    saveS: 0,
  };
}

/** Cuts all hosts of zone `b` off from those of zone `a`: controllers and machines. */
function cutZones({ deployment, record }: CaseContext): void {
  const { services, controllers } = deployment;
  const zoneOf = (host: string): string | undefined => {
    const machines = [...services.cloud.machines.values()];
    const machine = machines.find((candidate) => candidate.worker?.config.address === host);
    return machine?.zone ?? controllers.find(({ address }) => address === host)?.zone;
  };
  record.add(`zones a and b can't reach each other for ${CUT_MS / 1000} s; messages are held`);
  services.network.partitions.push({
    a: (host) => zoneOf(host) === 'a',
    b: (host) => zoneOf(host) === 'b',
    until: services.clock.time + CUT_MS,
    mode: 'hold',
  });
  deployment.cutBetweenZones('hold');
  setTimeout(() => {
    record.add('the zones reach each other again');
    deployment.cutBetweenZones(null);
  }, CUT_MS);
}

/** Polls until the cut is over; returns whether an answer was wrong by more than the allowed lag. */
async function pollWhileRunning({ deployment, record, users }: CaseContext): Promise<boolean> {
  const { invariants } = deployment.services;
  const job = service(2, 'a');
  await users.submit(ASKED, job);
  await until('the task runs', 8000, () => invariants.placesByTask.has(`${job.id}/0`));
  const runningSince = performance.now();
  let isWrong = false;
  while (performance.now() - runningSince < CUT_MS - 4000) {
    const sentAt = performance.now();
    const state = await users.poll(ASKED, job.id);
    const runsForMs = sentAt - runningSince;
    if (!invariants.placesByTask.has(`${job.id}/0`)) throw new Error('the task was stopped');
    if (state === 'pending' && runsForMs > MAX_LAG_MS + MARGIN_MS) {
      record.add(`pending, although its task has run for ${(runsForMs / 1000).toFixed(1)} s`);
      isWrong = true;
    }
    await delay(POLL_MS);
  }
  return isWrong;
}

async function run(context: CaseContext): Promise<Verdict> {
  const { deployment, users, trouble } = context;
  const { services } = deployment;
  deployment.startController(LEADER);
  await until('the first controller leads', 15_000, () => services.leader() === LEADER);
  for (const { name } of deployment.controllers)
    if (name !== LEADER) deployment.startController(name);
  for (const { name } of deployment.controllers) await deployment.untilHealthy(name);
  await users.submit(LEADER, service(1, null));
  const machinesUp = (zone: string): number =>
    [...services.cloud.machines.values()].filter(
      (machine) => machine.zone === zone && machine.worker,
    ).length;
  await until('machines are up', 40_000, () => machinesUp('a') >= 3 && machinesUp('b') >= 3);
  await delay(3000);
  if (services.leader() !== LEADER) throw new Error('another controller leads');
  if (trouble) cutZones(context);
  const isWrong = await pollWhileRunning(context);
  return isWrong ? 'broken' : 'held';
}

void runCase({ number: 8, site: SHIFA, machinesPerPool: MACHINES_PER_POOL, run });
