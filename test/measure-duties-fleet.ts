/**
 * Compares duties performed by their holders with a leader that performs all actions itself, in a simulated fleet of
 * 4,000 machines; see docs/duties.md.
 */
import { DUTIES } from '@millring/duties';
import {
  CloudInvariants,
  ROLLOUT_SETTINGS,
  DUTY_SETTINGS,
  putFeatureLevel,
} from './sim/cloud-invariants.js';
import { Cluster } from './sim/cluster.js';
import { BATCH } from './sim/jobs.js';

const MACHINES = 4000;
const CPUS = 16;
const ZONES = ['a', 'b', 'c', 'd'];

/** Crashes or freezes the holder of a duty, or some controller if the duty has no holder. */
function disturbHolder(cluster: Cluster, round: number): void {
  const duty = DUTIES[round % DUTIES.length];
  const holder = cluster.state.value(`duties/holders/${duty}`) as
    { controller: string } | undefined;
  const name = holder?.controller ?? cluster.nodeNames[round % cluster.nodeNames.length];
  if (round % 2 === 0) cluster.crash(name, 3000);
  else cluster.freeze(name, 6000);
}

function print(
  mode: string,
  cluster: Cluster,
  seconds: number,
  cloudInvariants: CloudInvariants | null,
): void {
  const { received } = cluster.state;
  console.log(
    `${mode}: ${cluster.invariants.violations.length} invariants violated, ${cluster.cloud.machines.size} machines left after ${seconds} s, ` +
      `cloud: ${cluster.cloud.received.calls} calls, ${cluster.cloud.received.tooMany} over the rate; ` +
      `state: ${received.requests} requests, ${received.changes} changes, ${received.tooMany} over the limits; ` +
      `deletions ${cloudInvariants?.deletions ?? '-'}, intents ${cloudInvariants?.intents.size ?? '-'}`,
  );
  for (const line of cluster.invariants.violations.slice(0, 5)) console.log(line);
}

/** Submits tasks for half of the fleet while holders crash or freeze, then waits until all machines are deleted. */
async function measureFleet(mode: 'on' | 'off'): Promise<void> {
  const cluster = new Cluster({
    seed: 7,
    nodes: 3,
    zones: ZONES,
    ordinaryUp: MACHINES,
    capacity: 0,
    teamLimit: 1e6,
    reportMs: 8000,
    leaseMs: 30_000,
    cancelMs: 70_000,
    cloudRps: 3,
    pollMs: 400,
    state: { rps: 200, writeRps: 30 },
    rollout: ROLLOUT_SETTINGS,
    duties: { ...DUTY_SETTINGS, mode },
  });
  putFeatureLevel(cluster);
  const cloudInvariants = mode === 'on' ? new CloudInvariants(cluster) : null;
  await cluster.run(14);
  for (let i = 0; i < 16; i++)
    void cluster.users.run(
      cluster.users.newJob({ ...BATCH, tasks: 125, cpus: CPUS, durationS: 30 }),
      null,
    );
  for (let round = 0; round < 6; round++) {
    await cluster.run(10);
    disturbHolder(cluster, round);
  }
  let seconds = 0;
  while (cluster.cloud.machines.size > 0 && seconds < 400) {
    await cluster.run(5);
    seconds += 5;
  }
  print(mode, cluster, seconds, cloudInvariants);
}

await measureFleet('off');
await measureFleet('on');
process.exit(0);
