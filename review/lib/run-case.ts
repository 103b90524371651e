/** Runs a case: exit code 1 if its rule was broken, 0 if it held, 2 if the case couldn't run. */
import process from 'node:process';
import { Deployment } from './deployment.js';
import type { Site } from './settings.js';
import { until } from './users.js';

const START_TIMEOUT_MS = 15_000;
/** A case runs for 120 s at most. */
const CASE_TIMEOUT_MS = 114_000;

export interface CaseOptions {
  rule: string;
  recordPath: string;
  machinesPerZone: number;
  site: Site;
  /** Plays the case; `trouble` is false if the disruption is left out. */
  play: (deployment: Deployment, trouble: boolean) => Promise<void>;
}

/** Starts the first controller, which becomes the leader, and then the others. */
async function startControllers(deployment: Deployment): Promise<void> {
  const [first, ...others] = deployment.controllers;
  deployment.start(first.name);
  await until('a leader', START_TIMEOUT_MS, () => deployment.services.leader() === first.name);
  for (const { name } of others) deployment.start(name);
  for (const { name } of deployment.controllers)
    await until(`${name} healthy`, START_TIMEOUT_MS, () => deployment.isHealthy(name));
}

/** Makes the case end with exit code 2, and its processes with it, when it is ended from outside or takes too long. */
function endWith(deployment: Deployment): void {
  const end = (): void => {
    deployment.endProcesses();
    process.exit(2);
  };
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
  setTimeout(end, CASE_TIMEOUT_MS).unref();
}

async function run({
  rule,
  recordPath,
  machinesPerZone,
  site,
  play,
}: CaseOptions): Promise<number> {
  const trouble = process.env.TROUBLE !== '0';
  const deployment = await Deployment.open(recordPath, machinesPerZone, site);
  const { recorder, services } = deployment;
  endWith(deployment);
  recorder.note(trouble ? 'with the disruption' : 'without the disruption');
  let code = 2;
  try {
    await startControllers(deployment);
    await play(deployment, trouble);
    const { violations } = services.invariants;
    const broken = violations.filter((violation) => violation.includes(` ${rule}: `));
    recorder.say(`${rule} broken ${broken.length} times`);
    for (const violation of broken.slice(0, 5)) recorder.say(violation);
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    recorder.say(`the case could not run: ${String(error)}`);
  }
  await deployment.stop();
  return code;
}

export function runCase(options: CaseOptions): void {
  void run(options).then(
    (code) => process.exit(code),
    (error: unknown) => {
      process.stderr.write(`${String(error)}\n`);
      process.exit(2);
    },
  );
}
