/** What a new leader reads before it acts. */
import type { KeyValue } from '@millring/state-access';
import type { IntentLog } from '@millring/duties';
import { FINISHED, LIVE } from '../jobs/records.js';
import type { Runtime } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import type { StoredIntent } from './restored-intents.js';

export interface StoredState {
  machines: KeyValue[];
  jobs: KeyValue[];
  finished: KeyValue[];
  intents: StoredIntent[];
  /** Changes to jobs after this revision are not in it. */
  revision: number;
}

/** Null if the state service could not be read. `intents` is null where none can be stored. */
export async function readStoredState(
  store: StateStore,
  intents: IntentLog | null,
): Promise<StoredState | null> {
  const machines = await store.scan('m/');
  const jobs = machines && (await store.scan(LIVE));
  const finished = jobs && (await store.scan(FINISHED));
  const opened = finished && (intents ? await intents.readAll() : []);
  if (!machines || !jobs || !finished || !opened) return null;
  const { revision } = jobs;
  return {
    machines: machines.pairs,
    jobs: jobs.pairs,
    finished: finished.pairs,
    intents: opened,
    revision,
  };
}

/** What was read, for whom, and how long it took. */
export function logStoredState(
  { machines, jobs, finished, revision }: StoredState,
  began: number,
  term: { claim: number; token: number },
  { clock, log }: Runtime,
): void {
  const read = { machinePages: machines.length, jobs: jobs.length, finished: finished.length };
  const tookMs = Math.round(clock.now() - began);
  log.info({ ...term, revision, ...read, tookMs }, 'stored state read');
}
