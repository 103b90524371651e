/** `npm run soak -- --seeds 1-50` runs randomized fault tests on real controller processes over loopback. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Command, CommanderError, InvalidArgumentError } from 'commander';
import { bundleController } from '../sim/controller-program.js';
import { type SeedRange, parseSeedRange } from '../sim/seed-range.js';
import { type SoakResult, runSoak } from './soak-run.js';

const USAGE_ERROR = 2;
const LAST_LOG_LINES = 200;

interface SoakOptions {
  seeds: SeedRange;
  jobs: number;
}

function readJobs(text: string): number {
  if (!/^[1-9]\d?$/.test(text)) throw new InvalidArgumentError('expected a number from 1 to 99.');
  return Number(text);
}

function readOptions(args: string[]): SoakOptions | null {
  const command = new Command('soak')
    .requiredOption('--seeds <A-B>', 'seeds to run, for example 1-50', parseSeedRange)
    .option('--jobs <N>', 'runs at once', readJobs, 1)
    .exitOverride()
    .configureOutput({
      outputError: (text, write) => {
        write(text.split('\n')[0] + '\n');
      },
    });
  try {
    return command.parse(args, { from: 'user' }).opts<SoakOptions>();
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    process.exitCode = error.exitCode === 0 ? 0 : USAGE_ERROR;
    return null;
  }
}

/** Prints what is needed to analyze a failure: the faults, the controllers' logs and the starts and exits of tasks. */
function printFailure(result: SoakResult): void {
  console.log(
    `seed ${result.seed} violated invariants: ${result.violations.slice(0, 10).join('; ')}`,
  );
  console.log('faults:');
  for (const { atMs, fault } of result.schedule)
    console.log(`  ${Math.round(atMs)} ${JSON.stringify(fault)}`);
  for (const { name, text } of result.logs) {
    console.log(`log of ${name}:`);
    console.log(text.split('\n').slice(-LAST_LOG_LINES).join('\n'));
  }
  console.log('task starts and exits:');
  console.log(result.history.join('\n'));
}

function print(result: SoakResult): void {
  const { seed, machines, jobs, starts, terms, peakShare, violations } = result;
  const outcome = violations.length === 0 ? 'ok' : 'FAILED';
  const peak = Math.round(100 * peakShare);
  console.log(
    `seed ${seed}: ${outcome}, ${machines} machines, ${jobs} jobs, ${starts} starts, ${terms} leader terms, peak usage ${peak} %`,
  );
  if (violations.length > 0) printFailure(result);
}

async function runAll({ seeds, jobs }: SoakOptions): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'millring-soak-program-'));
  const program = join(directory, 'controller.cjs');
  await bundleController(program);
  let next = seeds.from;
  let passed = 0;
  let failed = 0;
  const runSeeds = async (): Promise<void> => {
    while (next <= seeds.to) {
      const result = await runSoak(program, next++);
      print(result);
      if (result.violations.length === 0) passed++;
      else failed++;
    }
  };
  await Promise.all(Array.from({ length: jobs }, runSeeds));
  rmSync(directory, { recursive: true });
  console.log(`soak: ${passed} passed, ${failed} failed`);
  if (failed > 0) process.exitCode = 1;
}

const options = readOptions(process.argv.slice(2));
if (options) {
  await runAll(options);
  process.exit();
}
