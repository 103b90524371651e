/** Reads the operators' own settings (JSON) and checks them against `operator.schema.json`, which has the defaults. */
import type { DutySettings } from '@millring/duties';
import type { RolloutSettings } from '@millring/rollout';
import { Ajv, type ValidateFunction } from 'ajv';
import schema from './operator.schema.json' with { type: 'json' };

/** The operators' own settings. `operator.schema.json` defines which values are valid, and the defaults. */
export interface OperatorSettings {
  /**
   * Whether cost is kept low. `objectives`: as the platform's objectives and guarantees imply (see `cost-policy.ts`);
   * `counts`: always; `free`: never.
   */
  money: 'objectives' | 'counts' | 'free';
  /** Seconds between placement rounds, in which tasks are moved. */
  round_s: number;
  /** A machine counts as slow if tasks run longer on it by this factor than tasks of the same jobs elsewhere. */
  slowness_ratio: number;
  /** Minimum number of jobs whose tasks must show that a machine is slow. */
  slowness_jobs: number;
  /** Maximum number of tasks, or whole gangs, moved off slow machines per round. */
  moves_per_round: number;
  /** Maximum number of tasks moved off a draining machine at a time. */
  drain_moves_per_round: number;
  /** Duration of the leader's lease in milliseconds. */
  leader_lease_ms: number;
  /** Time without a heartbeat, in heartbeat intervals, after which a machine counts as unreachable. */
  silent_reports: number;
  /**
   * Maximum number of unreachable or faulty machines deleted per round. In a large cluster, a share of all machines
   * applies instead if it is higher (see `deletion-budget.ts`).
   */
  deletions_per_round: number;
  /** Seconds for which a surplus machine must be idle before it is deleted. Applies only if cost is kept low. */
  idle_return_s: number;
  /** Capacity to keep free, as a share of the used capacity. Applies only if cost is kept low. */
  spare_share: number;
  /** Timeout in milliseconds for the response of a worker to a command. */
  command_timeout_ms: number;
  /** Settings of the rollout, which enables features while controllers run different builds. */
  rollout: RolloutSettings;
  /**
   * Settings of the duties. `mode` selects whether the leader (`off`) or the holders of the duties (`on`) request and
   * delete machines.
   */
  duties: DutySettings;
}

/** Schema of the structure of the file. The settings of each deployment are validated separately. */
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

/** The settings, or the reason why they are invalid, in one line that names the invalid field. */
export type ReadSettings =
  { kind: 'valid'; settings: OperatorSettings } | { kind: 'invalid'; reason: string };

/**
 * Reads the settings for a controller in `zone`. One file serves all deployments: settings under `deployments` whose
 * `locations` include the zone override the common settings.
 */
export function readOperatorSettings(input: unknown, zone = ''): ReadSettings {
  const ajv = new Ajv({ useDefaults: true });
  const validateFile = ajv.compile(FILE_SCHEMA);
  if (!validateFile(input)) return invalid(validateFile, '');
  const { deployments = [], ...common } = input as OperatorFile;
  const validateSettings = ajv.compile(schema);
  let chosen: object = { ...common };
  // Validation fills in defaults, so it works on copies until the settings for this zone are chosen.
  if (!validateSettings({ ...common })) return invalid(validateSettings, '');
  for (const [i, { locations, settings }] of deployments.entries()) {
    if (!validateSettings({ ...settings }))
      return invalid(validateSettings, `deployments/${i}/settings/`);
    if (locations.includes(zone)) chosen = { ...common, ...settings };
  }
  // Fills in the defaults. The result is not needed: the parts of `chosen` were found valid above.
  validateSettings(chosen);
  return { kind: 'valid', settings: chosen as OperatorSettings };
}

function invalid(validate: ValidateFunction, path: string): ReadSettings {
  const error = validate.errors?.[0];
  if (!error) return { kind: 'invalid', reason: `${path}file: invalid` };
  const extraField = (error.params as { additionalProperty?: string }).additionalProperty;
  const field = `${path}${(extraField ?? error.instancePath.slice(1)) || 'file'}`;
  return { kind: 'invalid', reason: `${field}: ${extraField ? 'unknown field' : error.message}` };
}

/** Returns the settings that an empty file stands for: the defaults. */
export function defaultOperatorSettings(): OperatorSettings {
  const read = readOperatorSettings({});
  if (read.kind === 'invalid')
    throw new Error(`default operator settings are invalid: ${read.reason}`);
  return read.settings;
}
