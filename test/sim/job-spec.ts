/** Job specifications for tests that need no user. */
import type { JobSpec } from '../../src/wire/model.js';

/** An array as the controllers keep it, for tests of single parts. */
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
