/** Job specifications for tests without simulated users. */
import type { JobSpec } from '../../src/wire/model.js';

/** Returns an array job as the controllers represent it, for unit tests. */
export function spec(overrides: Partial<JobSpec> = {}): JobSpec {
  return {
    id: 'run-1',
    cls: 'batch',
    team: 't',
    kind: 'array',
    priority: 2,
    tasks: 10,
    cpus: 2,
    gpus: 0,
    memoryGb: 4,
    image: 'i',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 30,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...overrides,
  };
}
