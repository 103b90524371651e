/** Measures how long a duty is without a doer, and what the duties cost at rest. Prints a table; see docs/duties.md. */
import { performance } from 'node:perf_hooks';
import hdr from 'hdr-histogram-js';
import { DutyGroup } from './sim/duty-group.js';
import { DUTY, DutyProcesses } from './sim/duty-processes.js';

const LEASE_S = 2;
const SEEDS = 100;
const LOOPBACK_RUNS = 10;
const HOUR_S = 3600;
const FREEZE_MS = 60_000;
const DEATH_MS = 60_000;

type End = 'death' | 'freeze';

/** From the end of the holder to the first action of another one that the provider accepts. */
async function simulatedGapMs(seed: number, end: End): Promise<number> {
  const group = new DutyGroup({ seed, settings: { lease_s: LEASE_S } });
  await group.untilAllHeld();
  await group.run(5 + group.random.unit());
  const old = group.storedHolder(DUTY)!;
  if (end === 'death') group.crash(old.controller, DEATH_MS);
  else group.freeze(old.controller, FREEZE_MS);
  const from = group.clock.time;
  void group.delete('return', 'm-1');
  await group.until('another acts', () =>
    group.provider.executed(DUTY).some(({ token }) => token > old.token),
  );
  return group.clock.time - from;
}

async function loopbackGapMs(run: number, end: End): Promise<number> {
  const processes = new DutyProcesses();
  try {
    await processes.start(0, LEASE_S);
    const old = processes.storedHolder()!;
    processes.signal(old.controller, end === 'death' ? 'SIGKILL' : 'SIGSTOP');
    const from = performance.now();
    processes.storeDeletionIntent(`i-${run}`, 'm-1');
    await processes.until('another acts', () =>
      processes.provider.executed(DUTY).some(({ token }) => token > old.token),
    );
    return performance.now() - from;
  } finally {
    await processes.stop();
  }
}

async function gaps(
  name: string,
  runs: number,
  gap: (run: number) => Promise<number>,
): Promise<void> {
  const histogram = hdr.build();
  for (let run = 1; run <= runs; run++) histogram.recordValue(Math.round(await gap(run)));
  const [p50, p95] = [50, 95].map((share) => histogram.getValueAtPercentile(share));
  console.log(`${name}: ${runs} runs, p50 ${p50} ms, p95 ${p95} ms, most ${histogram.maxValue} ms`);
}

/** What three controllers ask of the state service and the provider while nothing is decided. */
async function atRest(): Promise<void> {
  const group = new DutyGroup({ seed: 1, settings: { lease_s: 3, settle_s: 10, rebalance_s: 60 } });
  await group.untilAllHeld();
  await group.run(60);
  const { requests, changes } = group.state.received;
  const calls = group.provider.calls.length;
  await group.run(HOUR_S);
  const asked = group.state.received;
  console.log(
    `at rest, an hour: ${asked.requests - requests} requests and ${asked.changes - changes} changes to the state service, ` +
      `${group.provider.calls.length - calls} calls of the provider`,
  );
}

console.log(`lease of ${LEASE_S} s`);
for (const end of ['death', 'freeze'] as const) {
  await gaps(`simulated, ${end}`, SEEDS, (run) => simulatedGapMs(run, end));
  await gaps(`loopback, ${end}`, LOOPBACK_RUNS, (run) => loopbackGapMs(run, end));
}
await atRest();
