/** The build that this program declares to the rollout: version, supported feature levels, and features. */
import { type Build, FeatureRegistry } from '@millring/rollout';
import manifest from '../package.json' with { type: 'json' };

/** Feature: finished tasks of large jobs are stored in compressed segments, see `jobs/finished-records.ts`. */
export const COMPACT_FINISHED_TASKS = 'compact-finished-tasks';

/** Feature: the holders of duties rent and delete machines according to stored intents, see docs/duties.md. */
export const FENCED_DUTIES = 'fenced-duties';

/** All features that depend on the cluster's feature level. */
export const FEATURES = new FeatureRegistry([
  {
    name: COMPACT_FINISHED_TASKS,
    level: 2,
    covers: { records: ['d/JOB/NUMBER with numbers from 1000'], messages: [], decisions: [] },
    // A build from before feature levels reads them as records without finished tasks: it restarts the finished tasks,
    // and they exit immediately.
    withoutLevels: 'harmless',
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
    // A build from before feature levels would start tasks on machines that are about to be deleted.
    withoutLevels: 'unsafe',
    reversible: true,
  },
]);

/** This build's version, and the feature levels that it reads and writes. */
export const BUILD: Build = { version: manifest.version, reads: { from: 1, to: 3 }, writes: 3 };
