/** The faults of a run of the soak test and their times, as a pure function of the seed and the options. */
import { SeededRandom } from '../sim/random.js';

/** Effect of a link fault: messages are held until the fault ends, or connections are reset. */
export type LinkMode = 'hold' | 'reset';

/**
 * `controller` is an index, or the leader. `share` is the share of machines that are affected, or of writes for
 * `late-writes`; which ones are affected depends on the run's seed.
 */
export type Fault =
  | { kind: 'kill'; controller: number; downMs: number }
  | { kind: 'kill-leader'; times: number; everyMs: number; downMs: number }
  | { kind: 'pause'; controller: number | 'leader'; forMs: number }
  | { kind: 'cut-heartbeats'; controller: number | 'leader'; forMs: number; mode: LinkMode }
  | { kind: 'cut-commands'; controller: number | 'leader'; forMs: number; mode: LinkMode }
  | { kind: 'cut-machines'; share: number; forMs: number; mode: LinkMode }
  | { kind: 'block-connections'; share: number; forMs: number }
  | { kind: 'hold-messages'; share: number; forMs: number }
  | { kind: 'hang-machines'; share: number; forMs: number }
  | { kind: 'take-machines'; share: number }
  | { kind: 'refuse-state'; controller: number | 'leader'; forMs: number }
  | { kind: 'state-outage'; forMs: number }
  | { kind: 'late-writes'; share: number; forMs: number }
  | { kind: 'late-starts'; byMs: number; forMs: number }
  | { kind: 'cut-peers'; controller: number | 'leader'; forMs: number; mode: LinkMode }
  | { kind: 'duplicate-heartbeats'; chance: number; forMs: number }
  | { kind: 'slow-network'; factor: number; forMs: number };

/** A fault and the time at which it begins, in milliseconds after the first job is submitted. */
export interface ScheduledFault {
  atMs: number;
  fault: Fault;
}

/** Properties of the run that a schedule is made for. */
export interface ScheduleOptions {
  controllers: number;
  /** Time within which faults begin, in milliseconds. */
  durationMs: number;
  leaseMs: number;
}

/** Maximum number of independent random faults that begin together, so that faults combine. */
const MAX_FAULTS_AT_ONCE = 3;
/** Probability that a predefined combination of two or three faults is injected instead of independent ones. */
const COMBINATION_SHARE = 0.4;
/** Start of the first faults, in milliseconds; machines are up and run tasks by then. */
const FIRST_FAULT_MS = 9000;
/** Time between the first faults and all others, in worker leases. */
const RANDOM_FAULTS_DELAY_LEASES = 1.5;
const MIN_GAP_MS = 900;
const MAX_GAP_MS = 2600;

/** Returns the same schedule for the same seed and options. */
export function faultSchedule(seed: number, options: ScheduleOptions): ScheduledFault[] {
  const random = new SeededRandom(seed);
  // No other faults disturb the first ones, so that they are guaranteed to have their intended effect.
  const firstFaults =
    seed % 2 === 1
      ? endAllIncarnations(random, FIRST_FAULT_MS, options)
      : killLeadersInSeries(random, options);
  const schedule = [...firstFaults];
  const randomFaultsFromMs = FIRST_FAULT_MS + RANDOM_FAULTS_DELAY_LEASES * options.leaseMs;
  for (
    let atMs = randomFaultsFromMs;
    atMs < options.durationMs;
    atMs += random.between(MIN_GAP_MS, MAX_GAP_MS)
  ) {
    if (random.chance(COMBINATION_SHARE)) {
      schedule.push(...drawCombination(random, atMs, options));
      continue;
    }
    const count = random.int(1, MAX_FAULTS_AT_ONCE);
    for (let i = 0; i < count; i++)
      schedule.push({ atMs: atMs + i * random.between(0, 400), fault: drawFault(random, options) });
  }
  return schedule.sort((a, b) => a.atMs - b.atMs);
}

/** The incarnations of all workers end, because their leases expire, while commands to start tasks are in flight. */
function endAllIncarnations(
  random: SeededRandom,
  atMs: number,
  { leaseMs }: ScheduleOptions,
): ScheduledFault[] {
  const startsMs = atMs + leaseMs * random.between(0.75, 0.85);
  return [
    { atMs, fault: { kind: 'block-connections', share: 1, forMs: leaseMs + 50 } },
    {
      atMs: startsMs,
      fault: { kind: 'late-starts', byMs: random.between(1900, 2300), forMs: 2500 },
    },
  ];
}

/** Several leaders are killed in succession while some machines do not respond to requests. */
function killLeadersInSeries(random: SeededRandom, { leaseMs }: ScheduleOptions): ScheduledFault[] {
  const share = random.between(0.4, 0.9);
  const times = random.int(2, 4);
  const downMs = random.pick([50, 500, 3000]);
  const forMs = random.between(0.6, 0.95) * leaseMs;
  return [
    { atMs: FIRST_FAULT_MS, fault: { kind: 'hang-machines', share, forMs } },
    {
      atMs: FIRST_FAULT_MS + 200,
      fault: { kind: 'kill-leader', times, everyMs: random.between(1500, 3000), downMs },
    },
  ];
}

/** Faults that cause harm only in a certain sequence and timing, which independent random faults rarely have. */
function drawCombination(
  random: SeededRandom,
  atMs: number,
  options: ScheduleOptions,
): ScheduledFault[] {
  const { leaseMs } = options;
  const share = random.between(0.3, 0.9);
  const combinations: ScheduledFault[][] = [
    endAllIncarnations(random, atMs, options),
    [
      { atMs, fault: { kind: 'hang-machines', share, forMs: 0.9 * leaseMs } },
      { atMs: atMs + 300, fault: { kind: 'kill-leader', times: 2, everyMs: 1500, downMs: 500 } },
    ],
    [
      { atMs, fault: { kind: 'refuse-state', controller: 'leader', forMs: leaseMs } },
      { atMs: atMs + 1000, fault: { kind: 'state-outage', forMs: leaseMs } },
    ],
    [
      { atMs, fault: { kind: 'cut-machines', share, forMs: 0.8 * leaseMs, mode: 'hold' } },
      {
        atMs: atMs + 500,
        fault: { kind: 'duplicate-heartbeats', chance: 0.3, forMs: 2 * leaseMs },
      },
      { atMs: atMs + 700, fault: { kind: 'kill-leader', times: 1, everyMs: 0, downMs: 50 } },
    ],
  ];
  return random.pick(combinations);
}

function drawFault(random: SeededRandom, { controllers, leaseMs }: ScheduleOptions): Fault {
  const forMs = Math.round(random.between(500, 1.5 * leaseMs));
  const share = random.between(0.1, 0.7);
  const mode = random.pick<LinkMode>(['hold', 'reset']);
  const controller = random.chance(0.5) ? 'leader' : random.int(0, controllers - 1);
  const downMs = random.pick([50, 500, 3000]);
  const candidates: Fault[] = [
    { kind: 'kill', controller: random.int(0, controllers - 1), downMs },
    { kind: 'kill-leader', times: random.int(1, 4), everyMs: 2500, downMs },
    { kind: 'pause', controller, forMs },
    { kind: 'cut-heartbeats', controller, forMs, mode },
    { kind: 'cut-commands', controller, forMs, mode },
    { kind: 'cut-machines', share, forMs, mode },
    { kind: 'block-connections', share, forMs: leaseMs + random.between(0, 1000) },
    { kind: 'hold-messages', share: share / 2, forMs },
    { kind: 'hang-machines', share, forMs: random.between(500, leaseMs) },
    { kind: 'take-machines', share: share / 3 },
    { kind: 'refuse-state', controller, forMs },
    { kind: 'state-outage', forMs: forMs / 2 },
    { kind: 'late-writes', share: random.between(0.05, 0.3), forMs },
    { kind: 'late-starts', byMs: random.between(300, 1400), forMs },
    { kind: 'cut-peers', controller, forMs, mode },
    { kind: 'duplicate-heartbeats', chance: random.between(0.05, 0.4), forMs },
    { kind: 'slow-network', factor: random.between(3, 30), forMs },
  ];
  return random.pick(candidates);
}
