/** What this program declares of itself to the rollout: its version, the levels that it knows, and its features. */
import { type Build, FeatureRegistry } from '@millring/rollout';
import manifest from '../package.json' with { type: 'json' };

/** Finished tasks of large jobs in compressed segments, see `jobs/finished-records.ts`. */
export const COMPACT_FINISHED_TASKS = 'compact-finished-tasks';

/** Machines are rented and deleted by the holders of duties, as stored intents say: see docs/duties.md. */
export const FENCED_DUTIES = 'fenced-duties';

/** All features that depend on the cluster's level. */
export const FEATURES = new FeatureRegistry([
  {
    name: COMPACT_FINISHED_TASKS,
    level: 2,
    covers: { records: ['d/JOB/NUMBER with numbers from 1000'], messages: [], decisions: [] },
    // It takes them for records without finished tasks: the tasks are started once more and end at once.
    withoutGate: 'harmless',
    reversible: true,
  },
  {
    name: FENCED_DUTIES,
    level: 3,
    covers: {
      records: ['duties/intents/ID'],
      messages: [],
      decisions: ['machines with an open intent to delete them take no work'],
    },
    // It would start work on machines that are about to be deleted.
    withoutGate: 'unsafe',
    reversible: true,
  },
]);

/** This build's version, and the levels that it reads and writes. */
export const BUILD: Build = { version: manifest.version, reads: { from: 1, to: 3 }, writes: 3 };
