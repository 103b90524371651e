/** Reads the operators' own settings (JSON), checked against `operator.schema.json`, which has the defaults. */
import type { DutySettings } from '@millring/duties';
import type { RolloutSettings } from '@millring/rollout';
import { Ajv, type ValidateFunction } from 'ajv';
import schema from './operator.schema.json' with { type: 'json' };

/** The operators' own settings; `operator.schema.json` has the meaning of a valid file and the defaults. */
export interface OperatorSettings {
  /** Whether money counts: as the platform's objectives and guarantees tell (see `cost-policy.ts`), always, or never. */
  money: 'objectives' | 'counts' | 'free';
  /** Seconds between placement rounds (moves). */
  round_s: number;
  /** A machine is slow when tasks run this much longer on it than the same jobs elsewhere. */
  slowness_ratio: number;
  /** How many jobs must agree that a machine is slow. */
  slowness_jobs: number;
  /** Tasks, or whole gangs, moved off slow machines per round, at most. */
  moves_per_round: number;
  /** Tasks moved off one draining machine at a time, at most. */
  drain_moves_per_round: number;
  /** Duration of the leader's lease. */
  leader_lease_ms: number;
  /** Heartbeats missed in a row before a machine counts as unreachable. */
  silent_reports: number;
  /** Unreachable machines deleted per round, at most, unless the cluster is large. */
  deletions_per_round: number;
  /** Seconds a surplus machine stands idle before it is deleted, where money counts. */
  idle_return_s: number;
  /** Capacity kept free, as a share of what is used, where money counts. */
  spare_share: number;
  /** How long a worker may take to answer a command. */
  command_timeout_ms: number;
  /** How features are turned on across controllers of several builds. */
  rollout: RolloutSettings;
  /** Who requests and deletes machines: the leader, or the holders of duties. */
  duties: DutySettings;
}

/** The outer form of the file; the settings of each deployment are checked one by one. */
const FILE_SCHEMA = {
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
 * Settings, or the field at fault. One file serves all deployments: what it says under `deployments` for the location of
 * this controller overrides what it says for all.
 */
export function readOperatorSettings(input: unknown, location = ''): ReadSettings {
  const ajv = new Ajv({ useDefaults: true });
  const isFile = ajv.compile(FILE_SCHEMA);
  if (!isFile(input)) return invalid(isFile, '');
  const { deployments = [], ...common } = input as OperatorFile;
  const isSettings = ajv.compile(schema);
  let chosen: object = { ...common };
  // Checked on copies: defaults are filled in only once the settings for this location are chosen.
  if (!isSettings({ ...common })) return invalid(isSettings, '');
  for (const [i, { locations, settings }] of deployments.entries()) {
    if (!isSettings({ ...settings })) return invalid(isSettings, `deployments/${i}/settings/`);
    if (locations.includes(location)) chosen = { ...common, ...settings };
  }
  isSettings(chosen);
  return { kind: 'valid', settings: chosen as OperatorSettings };
}

function invalid(validate: ValidateFunction, path: string): ReadSettings {
  const error = validate.errors?.[0];
  if (!error) return { kind: 'invalid', reason: `${path}file: invalid` };
  const extraField = (error.params as { additionalProperty?: string }).additionalProperty;
  const field = `${path}${(extraField ?? error.instancePath.slice(1)) || 'file'}`;
  return { kind: 'invalid', reason: `${field}: ${extraField ? 'unknown field' : error.message}` };
}

/** The settings of an empty file. */
export function defaultOperatorSettings(): OperatorSettings {
  const read = readOperatorSettings({});
  if (read.kind === 'invalid') throw new Error(`defaults: ${read.reason}`);
  return read.settings;
}
