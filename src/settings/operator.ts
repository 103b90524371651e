/**
 * Reads the operators' own settings (JSON), checked against `operator.schema.json`, which has the defaults.
 */
import type { DutySettings } from '@millring/duties';
import type { RolloutSettings } from '@millring/rollout';
import { Ajv } from 'ajv';
import schema from './operator.schema.json' with { type: 'json' };

/** The operators' own settings; `operator.schema.json` has the meaning of a valid file and the defaults. */
export interface OperatorSettings {
  /** Whether money counts: as the platform's objectives and guarantees tell (see `money.ts`), always, or never. */
  money: 'objectives' | 'counts' | 'free';
  /** Seconds between placement rounds (moves). */
  round_s: number;
  /** A machine is slow when tasks run this much longer on it than the same jobs elsewhere. */
  slowness_ratio: number;
  /** How many jobs must agree that a machine is slow. */
  slowness_jobs: number;
  moves_per_round: number;
  drain_moves_per_round: number;
  leader_lease_ms: number;
  /** Reports missed in a row before a machine counts as silent. */
  silent_reports: number;
  /** Silent machines deleted per round, at most. */
  deletions_per_round: number;
  /** Seconds a machine beyond the target stands empty before it is returned, where money counts. */
  idle_return_s: number;
  /** Room kept free over what is used, where money counts. */
  spare_share: number;
  command_timeout_ms: number;
  /** How new forms and decisions are turned on across controllers of several versions. */
  rollout: RolloutSettings;
  /** Who rents and deletes machines: the leader, or the holders of duties. */
  duties: DutySettings;
}

const wrapper = {
  type: 'object',
  properties: {
    deployments: {
      type: 'array',
      items: {
        type: 'object',
        additionalProperties: false,
        required: ['locations', 'settings'],
        properties: {
          locations: { type: 'array', items: { type: 'string' }, minItems: 1 },
          settings: { type: 'object' },
        },
      },
    },
  },
};

interface OperatorFile {
  deployments?: { locations: string[]; settings: object }[];
}

/** `invalid`: one line that names the field at fault. */
export type ReadSettings =
  { kind: 'valid'; settings: OperatorSettings } | { kind: 'invalid'; reason: string };

/**
 * Settings, or the field at fault. One file serves all deployments: what it says under
 * `deployments` for the location of this node goes before what it says for all.
 */
export function readOperatorSettings(input: unknown, location = ''): ReadSettings {
  const ajv = new Ajv({ useDefaults: true });
  const fault = (validate: ReturnType<Ajv['compile']>, path: string): ReadSettings => {
    const error = validate.errors?.[0];
    if (!error) return { kind: 'invalid', reason: `${path}file: invalid` };
    const extra = (error.params as { additionalProperty?: string }).additionalProperty;
    const field = `${path}${(extra ?? error.instancePath.slice(1)) || 'file'}`;
    return { kind: 'invalid', reason: `${field}: ${extra ? 'unknown field' : error.message}` };
  };
  const isFile = ajv.compile(wrapper);
  if (!isFile(input)) return fault(isFile, '');
  const { deployments = [], ...common } = input as OperatorFile;
  const isSettings = ajv.compile(schema);
  let chosen: object = { ...common };
  if (!isSettings({ ...common })) return fault(isSettings, '');
  for (const [i, d] of deployments.entries()) {
    if (!isSettings({ ...d.settings })) return fault(isSettings, `deployments/${i}/settings/`);
    if (d.locations.includes(location)) chosen = { ...common, ...d.settings };
  }
  isSettings(chosen);
  return { kind: 'valid', settings: chosen as OperatorSettings };
}

export function defaultOperatorSettings(): OperatorSettings {
  const read = readOperatorSettings({});
  if (read.kind === 'invalid') throw new Error(`defaults: ${read.reason}`);
  return read.settings;
}
