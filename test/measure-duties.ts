/**
 * Measures for how long a duty is not performed after its holder failed, and the load of idle duties on the state
 * service and the provider. Prints a table; see docs/duties.md.
 */
import { performance } from 'node:perf_hooks';
import hdr from 'hdr-histogram-js';
import { DutyGroup } from './sim/duty-group.js';
import { DUTY, DutyProcesses } from './sim/duty-processes.js';

const LEASE_S = 2;
const SEEDS = 100;
const LOOPBACK_RUNS = 10;
const HOUR_S = 3600;
const FREEZE_MS = 60_000;
const DOWNTIME_MS = 60_000;

type HolderFailure = 'death' | 'freeze';

/** Returns the time in ms from the failure of the holder until the provider accepts an action of another one. */
async function simulatedFailoverMs(seed: number, failure: HolderFailure): Promise<number> {
  const group = new DutyGroup({ seed, settings: { lease_s: LEASE_S } });
  await group.untilAllHeld();
  await group.run(5 + group.random.unit());
  const initialHolder = group.storedHolder(DUTY)!;
  if (failure === 'death') group.crash(initialHolder.controller, DOWNTIME_MS);
  else group.freeze(initialHolder.controller, FREEZE_MS);
  const from = group.clock.time;
  void group.delete('return', 'm-1');
  await group.until('another controller acts', () =>
    group.provider.executed(DUTY).some(({ token }) => token > initialHolder.token),
  );
  return group.clock.time - from;
}

async function loopbackFailoverMs(run: number, failure: HolderFailure): Promise<number> {
  const processes = new DutyProcesses();
  try {
    await processes.start(0, LEASE_S);
    const initialHolder = processes.storedHolder()!;
    processes.signal(initialHolder.controller, failure === 'death' ? 'SIGKILL' : 'SIGSTOP');
    const from = performance.now();
    processes.storeDeletionIntent(`i-${run}`, 'm-1');
    await processes.until('another controller acts', () =>
      processes.provider.executed(DUTY).some(({ token }) => token > initialHolder.token),
    );
    return performance.now() - from;
  } finally {
    await processes.stop();
  }
}

async function printFailoverTimes(
  name: string,
  runs: number,
  failoverMs: (run: number) => Promise<number>,
): Promise<void> {
  const histogram = hdr.build();
  for (let run = 1; run <= runs; run++) histogram.recordValue(Math.round(await failoverMs(run)));
  const [p50, p95] = [50, 95].map((share) => histogram.getValueAtPercentile(share));
  console.log(`${name}: ${runs} runs, p50 ${p50} ms, p95 ${p95} ms, most ${histogram.maxValue} ms`);
}

/** Prints the requests of three controllers to the state service and the provider in an hour without intents. */
async function printIdleLoad(): Promise<void> {
  const group = new DutyGroup({ seed: 1, settings: { lease_s: 3, settle_s: 10, rebalance_s: 60 } });
  await group.untilAllHeld();
  await group.run(60);
  const { requests, changes } = group.state.received;
  const calls = group.provider.calls.length;
  await group.run(HOUR_S);
  const received = group.state.received;
  console.log(
    `idle for one hour: ${received.requests - requests} requests and ${received.changes - changes} changes to the state service, ` +
      `${group.provider.calls.length - calls} calls of the provider`,
  );
}

console.log(`lease of ${LEASE_S} s`);
for (const failure of ['death', 'freeze'] as const) {
  await printFailoverTimes(`simulated, ${failure}`, SEEDS, (run) =>
    simulatedFailoverMs(run, failure),
  );
  await printFailoverTimes(`loopback, ${failure}`, LOOPBACK_RUNS, (run) =>
    loopbackFailoverMs(run, failure),
  );
}
await printIdleLoad();
