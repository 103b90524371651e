/** Jobs and user requests of the scenarios of the trace digest. */
import type { Cluster } from '../sim/cluster.js';
import { BATCH, SERVICE, GANG } from '../sim/jobs.js';
import {
  type JobSubmission,
  type UserRequest,
  cancelRequest,
  pollRequest,
  submitRequest,
} from '../sim/wire/users.js';

const USER_TIMEOUT_MS = 5000;

const longArray = { ...BATCH, durationS: 200 };

function maybeCancelAfterMs(cluster: Cluster): number | null {
  return cluster.random.chance(0.15) ? cluster.random.between(0, 15_000) : null;
}

function submit(cluster: Cluster, overrides: Partial<JobSubmission>): void {
  void cluster.users.run(cluster.users.newJob(overrides), maybeCancelAfterMs(cluster));
}

/** Random arrays and services, some of which are cancelled. */
export function mixedJobs(cluster: Cluster): void {
  if (cluster.random.chance(0.3)) submit(cluster, {});
}

export function gangs(cluster: Cluster, second: number): void {
  const { random } = cluster;
  if (second % 4 !== 0) return;
  submit(cluster, {
    ...GANG,
    tasks: random.int(2, 6),
    oneZone: random.chance(0.7),
    spot: random.chance(0.4),
    durationS: random.between(4, 25),
  });
}

/** More jobs than the cluster has capacity for, some of them urgent. */
export function excessJobs(cluster: Cluster, second: number): void {
  const { random } = cluster;
  const array = { ...BATCH, spot: true, tasks: random.int(4, 20), durationS: 4 };
  if (second < 25 && second % 2 === 0) submit(cluster, array);
  if (second % 7 === 3)
    submit(cluster, { ...array, jobClass: 'urgent', priority: 'high', team: 't0' });
  if (second % 10 === 5) submit(cluster, SERVICE);
}

/** Arrays that fill the fleet, and gangs that wait for capacity. */
export function gangsWaitingForArrays(cluster: Cluster, second: number): void {
  if (second % 4 === 0) submit(cluster, { ...BATCH, tasks: 14, durationS: 12 });
  if (second % 25 === 8)
    void cluster.users.run(cluster.users.newJob({ ...GANG, tasks: 6, cpus: 4 }), null);
}

/** A gang that waits because it would exceed its team's limit while the team's long-running arrays run. */
export function gangWaitingForTeamLimit(cluster: Cluster, second: number): void {
  const team = 't0';
  if (second === 0)
    void cluster.users.run(cluster.users.newJob({ ...longArray, team, tasks: 6 }), null);
  if (second === 8)
    void cluster.users.run(cluster.users.newJob({ ...GANG, team, tasks: 12 }), null);
  if (second > 8 && second % 12 === 0) submit(cluster, { ...BATCH, team, tasks: 2, durationS: 2 });
}

/** An array so large that the records of its finished tasks are split. */
export function largeArray(cluster: Cluster): void {
  const job = cluster.users.newJob({ ...BATCH, tasks: 2400, durationS: 0.5, team: 't0' });
  void cluster.users.run(job, null);
}

/** Tasks of equal length across the whole fleet, so that slow machines can be detected. */
export function equalLengthArrays(cluster: Cluster, second: number): void {
  if (second % 3 === 0) submit(cluster, { ...BATCH, tasks: 12, durationS: 6 });
  if (second % 20 === 9) submit(cluster, { ...GANG, oneZone: false, tasks: 4 });
}

/** Requests that are rejected, and requests for jobs that do not exist. */
export function invalidRequests(cluster: Cluster, second: number): void {
  const send = ({ method, path, body }: UserRequest): void => {
    const to = `${cluster.random.pick(cluster.nodeNames)}:80`;
    void cluster.network.send('user', to, method, path, body, USER_TIMEOUT_MS);
  };
  const submitOnce = (overrides: Partial<JobSubmission>): void => {
    send(submitRequest(cluster.users.newJob({ ...BATCH, ...overrides })));
  };
  if (second % 10 === 2) submitOnce({ tasks: 0 });
  if (second % 10 === 4) submitOnce({ team: 'nobody' });
  if (second % 10 === 6) submitOnce({ cpus: 1000 });
  if (second % 10 === 7) send(pollRequest('run-999999'));
  if (second % 10 === 8) send(cancelRequest('run-999999'));
}

export function heterogeneousJobs(cluster: Cluster, second: number): void {
  if (second % 6 === 0) submit(cluster, { ...BATCH, cpus: 4, tasks: cluster.random.int(4, 16) });
  if (second % 10 === 3) submit(cluster, { ...BATCH, gpus: 1, tasks: 3, machineTypes: ['gpu-16'] });
  if (second % 15 === 5) submit(cluster, { ...SERVICE, cpus: 4, tasks: 2 });
  if (second % 15 === 8) submit(cluster, { ...GANG, cpus: 8, tasks: 3 });
}

/** Arrays whose tasks must all be in one zone, in a given zone or in any. */
export function singleZoneJobs(cluster: Cluster, second: number): void {
  const zone = cluster.random.pick(['a', 'b', 'c', null]);
  if (second % 5 === 1) submit(cluster, { ...BATCH, oneZone: true, tasks: 6, zone });
}

export function largeFleetJobs(cluster: Cluster, second: number): void {
  if (second % 10 === 0) submit(cluster, { ...BATCH, tasks: 120, cpus: 8, durationS: 8 });
  if (second % 10 === 5) submit(cluster, { ...SERVICE, tasks: 6 });
  if (second % 20 === 7) submit(cluster, { ...GANG, oneZone: false, tasks: 20, cpus: 8 });
}
