/** Scores the machines that a job's tasks may start on, and selects the best. */
import type { Job } from '../jobs/job.js';
import type { JobSpec } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import {
  type ZoneFilter,
  fits,
  satisfiesConstraints,
  zoneFilterFor,
} from './machine-constraints.js';
import type { PreemptionPolicy } from './preemption.js';

/** What the selection of machines rests on besides the job and the machines. */
export interface SelectionContext {
  /** Cheap machines first and full ones before empty ones, so that some can be returned. */
  minimizeCost: boolean;
  preemption: PreemptionPolicy;
}

/** The machine for one task, and the tasks to stop there first. */
export interface MachineChoice {
  machine: Machine;
  victims: TaskAttempt[];
}

// Weights of the score, of which lower is better: one second of fetching an image costs 100.
const COST_PER_FETCH_SECOND = 100;
const COST_PER_VICTIM = 120;
const COST_OF_STRAGGLER = 400;
/** Replicas of a service keep apart, by machine and by zone. */
const COST_PER_REPLICA_ON_MACHINE = 50;
const COST_PER_REPLICA_IN_ZONE = 5;
/** Tasks of an array keep together: the loss of a machine then hits few jobs. */
const COST_OF_MACHINE_SHARED_BY_ARRAY = -30;
const COST_OF_AVOIDABLE_ORDINARY_MACHINE = 600;
/** Where money does not count, ordinary machines are only slightly better for work that may be preempted. */
const COST_OF_SPOT_MACHINE = 2;
/** Times the machine's free share of CPUs. */
const WEIGHT_OF_FREE_SHARE = 10;

/** The youngest tasks whose end would free enough capacity on the machine; null if that is not possible. */
function preemptionVictims(
  job: Job,
  machine: Machine,
  policy: PreemptionPolicy,
): TaskAttempt[] | null {
  const { spec } = job;
  let cpus = machine.freeCpus();
  let gpus = machine.freeGpus();
  let memoryGb = machine.freeMemory();
  if (fits(spec, cpus, gpus, memoryGb)) return [];
  const candidates = [...machine.attempts.values()].filter(
    (attempt) =>
      attempt.onMachine() &&
      !attempt.startUnacknowledged &&
      !attempt.stop &&
      attempt.job !== null &&
      attempt.state !== 'saving' &&
      policy.mayPreempt(attempt, job),
  );
  candidates.sort((a, b) => b.createdAt - a.createdAt);
  const victims: TaskAttempt[] = [];
  for (const victim of candidates) {
    victims.push(victim);
    cpus += victim.job?.spec.cpus ?? 0;
    gpus += victim.job?.spec.gpus ?? 0;
    memoryGb += victim.job?.spec.memoryGb ?? 0;
    if (fits(spec, cpus, gpus, memoryGb)) return victims;
  }
  return null;
}

/** Expected seconds until the machine has the job's image. */
export function imageFetchSeconds(spec: JobSpec, machine: Machine): number {
  if (machine.images.has(spec.image)) return 0;
  const fullFetchS = spec.imageGb / machine.type.fetchGbPerS;
  if (machine.fetching.has(spec.image)) return fullFetchS / 2;
  return machine.fetching.size > 0 ? fullFetchS * 2 : fullFetchS;
}

/**
 * The machines for the tasks of one job. All machines are scored once per job and not once per task, since its tasks
 * are alike. Machines that have the image come first, since a fetch takes longer than anything else here; then those
 * without preemption, with replicas apart, and with most free capacity. Services are packed where money counts; arrays
 * never are: a job whose tasks fill few machines is hit by the loss of few, and one lost task makes it late.
 */
export class MachineCandidates {
  private readonly machines: Machine[] = [];
  /** Of `machines`, by index. */
  private readonly scores: number[] = [];
  /** The job's tasks that may still be somewhere, by machine and by zone. */
  private readonly tasksPerMachine = new Map<Machine, number>();
  private readonly tasksPerZone = new Map<string, number>();
  private readonly isZoneOpen: ZoneFilter | null;
  /** How many machines were scored: the cost of the selection. */
  examined = 0;

  constructor(
    private readonly job: Job,
    machines: Iterable<Machine>,
    private readonly context: SelectionContext,
  ) {
    for (const attempts of job.attempts.values())
      for (const attempt of attempts) this.countTask(attempt.machine);
    this.isZoneOpen = zoneFilterFor(job.spec, this.tasksPerZone);
    for (const machine of machines) {
      // A zone that is closed to the job stays closed while its tasks are placed.
      if (this.isZoneOpen && !this.isZoneOpen(machine.zone)) continue;
      this.examined++;
      const score = this.score(machine);
      if (score === Infinity) continue;
      this.machines.push(machine);
      this.scores.push(score);
    }
  }

  private countTask(machine: Machine): void {
    this.tasksPerMachine.set(machine, (this.tasksPerMachine.get(machine) ?? 0) + 1);
    this.tasksPerZone.set(machine.zone, (this.tasksPerZone.get(machine.zone) ?? 0) + 1);
  }

  /** No machine takes a task: nor does any for jobs of the same shape with the same zones open. */
  isEmpty(): boolean {
    return this.machines.length === 0;
  }

  /** Infinity where the job can't run; what depends on its zones is added in `selectBest`. */
  private score(machine: Machine): number {
    const { job, context } = this;
    if (!satisfiesConstraints(job.spec, machine) || job.failedOn.has(machine.index))
      return Infinity;
    const victims = preemptionVictims(job, machine, context.preemption);
    if (!victims) return Infinity;
    return (
      imageFetchSeconds(job.spec, machine) * COST_PER_FETCH_SECOND +
      victims.length * COST_PER_VICTIM +
      (machine.isStraggler ? COST_OF_STRAGGLER : 0) +
      this.colocationCost(machine) +
      (context.minimizeCost ? this.rentCost(machine) : this.utilizationCost(machine))
    );
  }

  private colocationCost(machine: Machine): number {
    const tasksHere = this.tasksPerMachine.get(machine) ?? 0;
    if (this.job.spec.kind === 'service') return tasksHere * COST_PER_REPLICA_ON_MACHINE;
    return tasksHere > 0 ? COST_OF_MACHINE_SHARED_BY_ARRAY : 0;
  }

  /** Where money counts: spot machines where they are allowed, and services bin-packed. */
  private rentCost(machine: Machine): number {
    const { spot, kind } = this.job.spec;
    const freeShare = machine.freeCpus() / machine.type.cpus;
    return (
      (spot && !machine.spot ? COST_OF_AVOIDABLE_ORDINARY_MACHINE : 0) +
      freeShare * (kind === 'service' ? WEIGHT_OF_FREE_SHARE : -WEIGHT_OF_FREE_SHARE)
    );
  }

  /** Where it does not: the load spread over all machines. */
  private utilizationCost(machine: Machine): number {
    const freeShare = machine.freeCpus() / machine.type.cpus;
    return (
      (this.job.spec.spot && machine.spot ? COST_OF_SPOT_MACHINE : 0) -
      freeShare * WEIGHT_OF_FREE_SHARE
    );
  }

  /** The best machine for the next task, or null. */
  selectBest(): MachineChoice | null {
    const { kind, tasks } = this.job.spec;
    const zoneWeight = kind === 'service' && tasks > 1 ? COST_PER_REPLICA_IN_ZONE : 0;
    let best: Machine | null = null;
    let bestScore = Infinity;
    for (let i = 0; i < this.machines.length; i++) {
      const { zone } = this.machines[i];
      const zoneCost = zoneWeight > 0 ? (this.tasksPerZone.get(zone) ?? 0) * zoneWeight : 0;
      const score = this.scores[i] + zoneCost;
      if (score >= bestScore || (this.isZoneOpen && !this.isZoneOpen(zone))) continue;
      bestScore = score;
      best = this.machines[i];
    }
    if (!best) return null;
    const victims = preemptionVictims(this.job, best, this.context.preemption);
    return victims && { machine: best, victims };
  }

  /** Takes into account that a task of the job was placed on the machine. */
  recordPlacement(machine: Machine): void {
    this.countTask(machine);
    const index = this.machines.indexOf(machine);
    if (index >= 0) this.scores[index] = this.score(machine);
  }
}
