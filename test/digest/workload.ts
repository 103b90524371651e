/** The users of the digest's scenarios. */
import type { Cluster } from '../sim/cluster.js';
import { BATCH, DESK, GANG } from '../sim/jobs.js';
import type { Body } from '../../src/wire/cbor.js';

const USER_TIMEOUT_MS = 5000;

const longArray = { ...BATCH, grind_s: 200 };

function maybeCancelAfterMs(cluster: Cluster): number | null {
  return cluster.random.chance(0.15) ? cluster.random.between(0, 15_000) : null;
}

export function submit(cluster: Cluster, body: Body): void {
  void cluster.user(cluster.jobBody(body), maybeCancelAfterMs(cluster));
}

/** Arrays and services of all shapes, some of them cancelled. */
export function mixedJobs(cluster: Cluster): void {
  if (cluster.random.chance(0.3)) submit(cluster, {});
}

export function gangs(cluster: Cluster, second: number): void {
  const { random } = cluster;
  if (second % 4 !== 0) return;
  submit(cluster, {
    ...GANG,
    sacks: random.int(2, 6),
    one_zone: random.chance(0.7),
    loaned_stones: random.chance(0.4),
    grind_s: random.between(4, 25),
  });
}

/** More than there is room for, urgent and not. */
export function crowd(cluster: Cluster, second: number): void {
  const { random } = cluster;
  const array = { ...BATCH, loaned_stones: true, sacks: random.int(4, 20), grind_s: 4 };
  if (second < 25 && second % 2 === 0) submit(cluster, array);
  if (second % 7 === 3)
    submit(cluster, { ...array, grist: 'urgent', precedence: 'high', miller: 't0' });
  if (second % 10 === 5) submit(cluster, DESK);
}

/** A fleet that arrays fill, while gangs wait for room in it. */
export function gangsBehindArrays(cluster: Cluster, second: number): void {
  if (second % 4 === 0) submit(cluster, { ...BATCH, sacks: 14, grind_s: 12 });
  if (second % 25 === 8) void cluster.user(cluster.jobBody({ ...GANG, sacks: 6, vcpus: 4 }), null);
}

/** A gang that fits under its team's limit only without the arrays that run on and on. */
export function gangBehindTeamLimit(cluster: Cluster, second: number): void {
  const team = { miller: 't0' };
  if (second === 0) void cluster.user(cluster.jobBody({ ...longArray, ...team, sacks: 6 }), null);
  if (second === 8) void cluster.user(cluster.jobBody({ ...GANG, ...team, sacks: 12 }), null);
  if (second > 8 && second % 12 === 0) submit(cluster, { ...BATCH, ...team, sacks: 2, grind_s: 2 });
}

/** An array so large that the records of its finished tasks are split. */
export function largeArray(cluster: Cluster): void {
  const body = { ...BATCH, sacks: 2400, grind_s: 0.5, miller: 't0' };
  void cluster.user(cluster.jobBody(body), null);
}

/** Tasks of equal length all over the fleet, so that slow machines stand out. */
export function evenArrays(cluster: Cluster, second: number): void {
  if (second % 3 === 0) submit(cluster, { ...BATCH, sacks: 12, grind_s: 6 });
  if (second % 20 === 9) submit(cluster, { ...GANG, one_zone: false, sacks: 4 });
}

/** Requests that are refused, or ask for what is not there. */
export function invalidRequests(cluster: Cluster, second: number): void {
  const ask = (method: string, path: string, body: Body | null): void => {
    const to = `${cluster.random.pick(cluster.names)}:80`;
    void cluster.net.send('user', to, method, path, body, USER_TIMEOUT_MS);
  };
  const job = (over: Body): Body => cluster.jobBody({ ...BATCH, ...over });
  if (second % 10 === 2) ask('POST', '/v1/jobs', job({ sacks: 0 }));
  if (second % 10 === 4) ask('POST', '/v1/jobs', job({ miller: 'nobody' }));
  if (second % 10 === 6) ask('POST', '/v1/jobs', job({ vcpus: 1000 }));
  if (second % 10 === 7) ask('GET', '/v1/jobs/run-999999', null);
  if (second % 10 === 8) ask('POST', '/v1/jobs/run-999999/withdraw', {});
}
