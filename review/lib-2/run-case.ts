/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
import { setTimeout as delay } from 'node:timers/promises';
import { Deployment } from './deployment.js';
import { Record } from './record.js';
import type { Site } from './settings.js';
import { Users } from './users.js';
import { watchServices } from './watch.js';

const CANNOT_RUN = 2;
const MAX_RUN_MS = 115_000;

/** What a case works with. */
export interface CaseContext {
  deployment: Deployment;
  record: Record;
  users: Users;
  /** False with `TROUBLE=0`: the same without the disruption. */
  trouble: boolean;
}

/** How a case ends. */
export type Verdict = 'held' | 'broken';

/** Options of a case. */
export interface CaseOptions {
  number: number;
  site: Site;
  machinesPerPool: number;
  run(context: CaseContext): Promise<Verdict>;
}

/** Waits until the condition holds; throws, so that the case counts as not run, if it does not in time. */
export async function until(
  what: string,
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`not in time: ${what}`);
    await delay(100);
  }
}

async function runAndStop(options: CaseOptions, record: Record): Promise<number> {
  const trouble = process.env.TROUBLE !== '0';
  const deployment = await Deployment.start(options.site, options.machinesPerPool);
  for (const signal of ['SIGTERM', 'SIGINT'] as const)
    process.once(signal, () => void deployment.stop().then(() => process.exit(CANNOT_RUN)));
  watchServices(deployment, record);
  const users = new Users(deployment, record);
  const timeout = delay(MAX_RUN_MS, null, { ref: false }).then(() => {
    throw new Error('the case takes too long');
  });
  try {
    const running = options.run({ deployment, record, users, trouble });
    const verdict = await Promise.race([running, timeout]);
    record.add(`the rule ${verdict === 'broken' ? 'was broken' : 'held'}`);
    return verdict === 'broken' ? 1 : 0;
  } finally {
    await deployment.stop();
  }
}

/** Runs the case and ends this process. */
export async function runCase(options: CaseOptions): Promise<void> {
  const record = new Record(`review/${options.number}`);
  let exitCode = CANNOT_RUN;
  try {
    exitCode = await runAndStop(options, record);
  } catch (error) {
    record.add(`could not run: ${String(error)}`);
  }
  record.write();
  process.exit(exitCode);
}
