/** The state that a new leader reads from the state service before it acts. */
import type { KeyValue } from '@millring/state-access';
import type { IntentLog } from '@millring/duties';
import { FINISHED_PREFIX, LIVE_PREFIX } from '../jobs/records.js';
import type { Runtime } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import type { StoredIntent } from './restored-intents.js';

/** Key prefix of the machine records. */
const MACHINES_PREFIX = 'm/';

/** All records as they were read. */
export interface StoredState {
  machines: KeyValue[];
  jobs: KeyValue[];
  finished: KeyValue[];
  intents: StoredIntent[];
  /** Revision at which the jobs were read; later changes to jobs are not included. */
  revision: number;
}

/** Returns null if the state service could not be read. `intents` is null if no intents can be stored. */
export async function readStoredState(
  store: StateStore,
  intentLog: IntentLog | null,
): Promise<StoredState | null> {
  const machines = await store.scan(MACHINES_PREFIX);
  const jobs = machines && (await store.scan(LIVE_PREFIX));
  const finished = jobs && (await store.scan(FINISHED_PREFIX));
  const storedIntents = finished && (intentLog ? await intentLog.readAll() : []);
  if (!machines || !jobs || !finished || !storedIntents) return null;
  const { revision } = jobs;
  return {
    machines: machines.pairs,
    jobs: jobs.pairs,
    finished: finished.pairs,
    intents: storedIntents,
    revision,
  };
}

/** Logs the term, how many records were read, and how long this took. */
export function logStoredState(
  { machines, jobs, finished, revision }: StoredState,
  beganAt: number,
  term: { epoch: number; token: number },
  { clock, log }: Runtime,
): void {
  const read = { machinePages: machines.length, jobs: jobs.length, finished: finished.length };
  const tookMs = Math.round(clock.now() - beganAt);
  log.info({ ...term, revision, ...read, tookMs }, 'stored state read');
}
