import { Ajv } from 'ajv';
import schema from './operator.schema.json' with { type: 'json' };

/** The operators' own settings; `operator.schema.json` has the meaning of a valid file and the defaults. */
export interface OperatorSettings {
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
}

/** Settings, or one line that names the field at fault. */
export function readOperatorSettings(input: unknown): OperatorSettings | string {
  const validate = new Ajv({ useDefaults: true }).compile(schema);
  const copy = structuredClone(input);
  if (validate(copy)) return copy as OperatorSettings;
  const e = validate.errors![0]!;
  const extra = (e.params as { additionalProperty?: string }).additionalProperty;
  return `${extra ?? (e.instancePath.slice(1) || 'file')}: ${extra ? 'unknown field' : e.message}`;
}

export function defaultOperatorSettings(): OperatorSettings {
  return readOperatorSettings({}) as OperatorSettings;
}
