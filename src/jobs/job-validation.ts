/** Checks whether a job could ever run in this cluster. */
import type { PlatformSettings } from '../settings/platform.js';
import type { JobSpec, MachineType } from '../wire/model.js';

/** Why a job can never run. */
export type ImpossibleReason =
  'unknown-team' | 'fits-no-machine-type' | 'needs-several-zones' | 'exceeds-team-limit';

/** Texts of the reasons in responses to users. */
export const IMPOSSIBLE_TEXTS: Record<ImpossibleReason, string> = {
  'unknown-team': 'unknown team',
  'fits-no-machine-type': 'a task fits no allowed machine type',
  'needs-several-zones': 'tasks must be apart, and there is one zone for them',
  'exceeds-team-limit': "over the team's limit",
};

function isAllowedType(type: MachineType, job: JobSpec): boolean {
  return (
    (job.types === null || job.types.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone))
  );
}

function isLargeEnough(type: MachineType, job: JobSpec): boolean {
  return type.cpus >= job.cpus && type.gpus >= job.gpus && type.memoryGb >= job.memoryGb;
}

/** A spread job may have at most half of its tasks, rounded up, in one zone: two or more tasks need several zones. */
function hasTooFewZones(job: JobSpec, types: MachineType[]): boolean {
  if (!job.spread || job.tasks === 1) return false;
  const zones = new Set(types.flatMap((type) => type.zones));
  return job.zone !== null || job.oneZone || zones.size < 2;
}

/** Returns why the job can never run, regardless of free capacity, or null if it can. */
export function impossibleReason(
  job: JobSpec,
  types: readonly MachineType[],
  teams: PlatformSettings['teams'],
): ImpossibleReason | null {
  const team = teams.find((candidate) => candidate.name === job.team);
  if (!team) return 'unknown-team';
  const usableTypes = types.filter((type) => isAllowedType(type, job) && isLargeEnough(type, job));
  if (usableTypes.length === 0) return 'fits-no-machine-type';
  if (hasTooFewZones(job, usableTypes)) return 'needs-several-zones';
  // The tasks of an array may run one after the other.
  const tasksAtOnce = job.kind === 'array' ? 1 : job.tasks;
  if (job.cpus * tasksAtOnce > team.cpusMax || job.gpus * tasksAtOnce > team.gpusMax)
    return 'exceeds-team-limit';
  return null;
}
