/**
 * `npm run trace-digest -- --seeds 1-20` prints, for each seed, a hash of all messages that the controllers of a
 * simulated cluster send. A refactoring that does not change behavior does not change the hashes.
 */
import { Command, CommanderError } from 'commander';
import { type SeedRange, parseSeedRange } from '../sim/seed-range.js';
import { type SeedDigest, compareDigests, readDigests, writeDigests } from './recorded-digests.js';
import { clusterFor, runDigestScenario } from './scenario.js';
import { scenarioOf } from './scenarios.js';
import { TrafficDigest } from './traffic-digest.js';

const DIFFERENCES_FOUND = 1;
const USAGE_ERROR = 2;

interface DigestOptions {
  seeds: SeedRange;
  record?: string;
  expect?: string;
}

function readOptions(args: string[]): DigestOptions | null {
  const command = new Command('trace-digest')
    .requiredOption('--seeds <A-B>', 'seeds to run, for example 1-20', parseSeedRange)
    .option('--record <FILE>', 'write the digests to FILE')
    .option('--expect <FILE>', 'compare the digests with those in FILE')
    .exitOverride();
  try {
    return command.parse(args, { from: 'user' }).opts<DigestOptions>();
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    process.exitCode = error.exitCode === 0 ? 0 : USAGE_ERROR;
    return null;
  }
}

async function digestOf(seed: number): Promise<SeedDigest> {
  const scenario = scenarioOf(seed);
  const cluster = clusterFor(scenario, seed);
  const traffic = new TrafficDigest(cluster);
  await runDigestScenario(scenario, cluster);
  const { messages } = traffic;
  return { seed, digest: traffic.finish(), messages };
}

function reportDifferences(digests: SeedDigest[], path: string): void {
  const { different, unrecorded } = compareDigests(digests, readDigests(path));
  if (different.length > 0) console.log(`different from ${path}: seeds ${different.join(' ')}`);
  if (unrecorded.length > 0) console.log(`not recorded in ${path}: seeds ${unrecorded.join(' ')}`);
  if (different.length + unrecorded.length > 0) process.exitCode = DIFFERENCES_FOUND;
  else console.log(`all ${digests.length} digests match ${path}`);
}

async function run({ seeds, record, expect }: DigestOptions): Promise<void> {
  const digests: SeedDigest[] = [];
  for (let seed = seeds.from; seed <= seeds.to; seed++) {
    const result = await digestOf(seed);
    digests.push(result);
    console.log(`seed ${seed}: ${result.digest}, ${result.messages} messages`);
  }
  if (record !== undefined) writeDigests(record, digests);
  if (expect !== undefined) reportDifferences(digests, expect);
}

const options = readOptions(process.argv.slice(2));
if (options) await run(options);
