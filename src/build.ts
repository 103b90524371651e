/** What this program declares of itself to the rollout: its version, the levels that it knows, and its features. */
import { type Build, FeatureRegistry } from '@millring/rollout';
import manifest from '../package.json' with { type: 'json' };

/** Finished tasks of large jobs in compressed segments, see `jobs/finished-records.ts`. */
export const COMPACT_FINISHED_TASKS = 'compact-finished-tasks';

export const FEATURES = new FeatureRegistry([
  {
    name: COMPACT_FINISHED_TASKS,
    level: 2,
    covers: { records: ['d/JOB/NUMBER with numbers from 1000'], messages: [], decisions: [] },
    // It takes them for records that tell of no finished task: the tasks are started once more and end at once.
    withoutGate: 'harmless',
    reversible: true,
  },
]);

export const BUILD: Build = { version: manifest.version, reads: { from: 1, to: 2 }, writes: 2 };
