/** The duties of a fleet of 4,000 machines, beside the leader acting itself. Simulated; see docs/duties.md. */
import { DUTIES } from '@millring/duties';
import { CloudWatch, ROLLOUT, SETTINGS, plantLevel } from './sim/cloud-watch.js';
import { Cluster } from './sim/cluster.js';
import { BATCH } from './sim/jobs.js';

const MACHINES = 4000;
const CPUS = 16;
const ZONES = ['a', 'b', 'c', 'd'];

/** Work for half of the fleet, while holders die or freeze; then nothing, until all machines are given back. */
async function fleetDay(mode: 'on' | 'off'): Promise<void> {
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
    rollout: ROLLOUT,
    duties: { ...SETTINGS, mode },
  });
  plantLevel(cluster);
  const watch = mode === 'on' ? new CloudWatch(cluster) : null;
  await cluster.run(14);
  for (let i = 0; i < 16; i++)
    void cluster.user(cluster.newJob({ ...BATCH, tasks: 125, cpus: CPUS, durationS: 30 }), null);
  for (let round = 0; round < 6; round++) {
    await cluster.run(10);
    const duty = DUTIES[round % DUTIES.length];
    const holder = cluster.state.value(`duties/holders/${duty}`) as
      { controller: string } | undefined;
    const name = holder?.controller ?? cluster.names[round % cluster.names.length];
    if (round % 2 === 0) cluster.crash(name, 3000);
    else cluster.freeze(name, 6000);
  }
  let seconds = 0;
  while (cluster.cloud.machines.size > 0 && seconds < 400) {
    await cluster.run(5);
    seconds += 5;
  }
  const { asked } = cluster.state;
  console.log(
    `${mode}: ${cluster.rules.broken.length} rules broken, ${cluster.cloud.machines.size} machines left after ${seconds} s, ` +
      `cloud: ${cluster.cloud.asked.calls} calls, ${cluster.cloud.asked.tooMany} over the rate; ` +
      `state: ${asked.requests} requests, ${asked.changes} changes, ${asked.tooMany} over the limits; ` +
      `deletions ${watch?.deletions ?? '-'}, intents ${watch?.intents.size ?? '-'}`,
  );
  for (const line of cluster.rules.broken.slice(0, 5)) console.log(line);
}

await fleetDay('off');
await fleetDay('on');
process.exit(0);
