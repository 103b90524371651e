/** Jobs that tests submit. */
import type { SeededRandom } from './random.js';
import type { JobSubmission } from './wire/users.js';

/** A spread service, as overrides of `Users.newJob`. */
export const SERVICE = {
  kind: 'service',
  jobClass: 'desk',
  priority: 'production',
  tasks: 3,
  spread: true,
  oneZone: false,
  spot: false,
  durationS: 0,
  deadlineS: null,
} satisfies Partial<JobSubmission>;
/** An array, as overrides of `Users.newJob`. */
export const BATCH = {
  kind: 'array',
  jobClass: 'batch',
  priority: 'normal',
  spread: false,
  oneZone: false,
  spot: false,
  deadlineS: null,
} satisfies Partial<JobSubmission>;
/** A gang in one zone that saves a checkpoint every 2 s, as overrides of `Users.newJob`. */
export const GANG = {
  kind: 'gang',
  jobClass: 'panel',
  priority: 'normal',
  tasks: 4,
  spread: false,
  oneZone: true,
  spot: false,
  durationS: 6,
  checkpointIntervalS: 2,
  saveS: 0.5,
  deadlineS: null,
} satisfies Partial<JobSubmission>;

/** Fields of an array that may run anywhere, for tests that don't depend on their values. */
export const PLAIN_ARRAY = {
  jobClass: 'batch',
  kind: 'array',
  priority: 'normal',
  cpus: 2,
  gpus: 0,
  image: 'img-1',
  machineTypes: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  durationS: 1,
  checkpointIntervalS: 0,
  saveS: 0,
  deadlineS: null,
} satisfies Partial<JobSubmission>;

/** Longest time that a random task saves, as a multiple of the time that a cancellation may take. */
const MAX_SAVE_SHARE_OF_CANCELLATION = 2;

/** Returns for how long the tasks of a random array save when they are stopped; most save briefly or not at all. */
export function randomSaves(
  random: SeededRandom,
  cancelMs: number,
): Pick<JobSubmission, 'checkpointIntervalS' | 'saveS'> {
  if (random.chance(0.4)) return { checkpointIntervalS: 0, saveS: 0 };
  const cancelS = cancelMs / 1000;
  const saveS = random.chance(0.5)
    ? random.between(0.2, 4)
    : random.between(cancelS / 2, MAX_SAVE_SHARE_OF_CANCELLATION * cancelS);
  return { checkpointIntervalS: random.between(1, 20), saveS };
}

/** Returns the id of a user's job: `run-` and the number with at least six digits. */
export function jobId(number: number): string {
  return `run-${String(number).padStart(6, '0')}`;
}

/** Returns a random service or array. */
export function randomJob(number: number, random: SeededRandom): JobSubmission {
  const isService = random.chance(0.4);
  return {
    id: jobId(number),
    jobClass: isService ? 'desk' : 'batch',
    team: random.pick(['t0', 't1']),
    kind: isService ? 'service' : 'array',
    priority: isService ? 'production' : 'normal',
    tasks: isService ? random.pick([1, 3]) : random.int(1, 14),
    cpus: 2,
    gpus: 0,
    memoryGb: 4,
    image: `img-${random.int(0, 2)}`,
    imageGb: 1,
    machineTypes: null,
    zone: null,
    oneZone: !isService && random.chance(0.2),
    spread: isService,
    spot: !isService,
    durationS: isService ? 0 : random.between(2, 9),
    checkpointIntervalS: 0,
    saveS: 0,
    deadlineS: isService ? null : 60,
  };
}

/** Requirements for clusters with `UNLIKE_TYPES`; each can be met by some pool of `unlikePools`. */
const REQUIREMENTS: ((random: SeededRandom) => Partial<JobSubmission>)[] = [
  () => ({}),
  (random) => ({ zone: random.pick(['a', 'b', 'c']), spread: false, oneZone: false }),
  (random) => ({ machineTypes: [random.pick(['t16', 'memory', 'gpu'])], spread: false }),
  () => ({ spread: true, oneZone: false }),
  () => ({ spread: false, oneZone: true }),
  () => ({ spot: false }),
  (random) => ({ cpus: 1, memoryGb: random.pick([30, 60, 120]), spread: false }),
  (random) => ({ gpus: random.pick([1, 2, 4]), cpus: random.pick([0, 1, 4]), spread: false }),
  () => ({ cpus: 0, memoryGb: 1 }),
  (random) => ({ cpus: random.pick([9, 10, 16]), spread: false }),
];

/** Returns what a random job requires of its machines, as overrides of `Users.newJob`. */
export function randomRequirements(random: SeededRandom): Partial<JobSubmission> {
  const kind = random.chance(0.15) ? GANG : random.chance(0.5) ? SERVICE : BATCH;
  const tasks = kind === GANG ? 3 : random.int(1, kind === SERVICE ? 3 : 10);
  const isApart = kind === SERVICE && tasks > 1 && random.chance(0.3);
  const common = { ...kind, tasks, cpus: 2, memoryGb: 2, spread: isApart, spot: kind !== SERVICE };
  const requirements = random.pick(REQUIREMENTS)(random);
  // Tasks of a gang that have to be in one zone must not be apart.
  return { ...common, ...requirements, ...(kind === GANG && { oneZone: true, spread: false }) };
}
