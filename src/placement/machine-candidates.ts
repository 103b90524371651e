/** Scores the machines on which a job's tasks may start, and selects the best. */
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

/** Inputs of the selection of machines besides the job and the machines. */
export interface SelectionContext {
  /**
   * Whether cheap machines are preferred, and, for services, full machines to empty ones, so that some can be returned
   * to the cloud.
   */
  minimizeCost: boolean;
  preemption: PreemptionPolicy;
}

/** The machine for one task, and the attempts to stop on it first. */
export interface MachineChoice {
  machine: Machine;
  victims: TaskAttempt[];
}

// Weights of the score; a lower score is better. One second of fetching an image costs 100.
const COST_PER_FETCH_SECOND = 100;
const COST_PER_VICTIM = 120;
const COST_OF_STRAGGLER = 400;
/** Spread the replicas of a service over machines and over zones. */
const COST_PER_REPLICA_ON_MACHINE = 50;
const COST_PER_REPLICA_IN_ZONE = 5;
/** Negative, so that tasks of an array or a gang are placed together: the loss of a machine then affects few jobs. */
const COST_OF_MACHINE_SHARED_BY_ARRAY = -30;
const COST_OF_AVOIDABLE_ORDINARY_MACHINE = 600;
/**
 * Without `minimizeCost`, ordinary machines are only slightly preferred for tasks that are allowed on spot machines.
 */
const COST_OF_SPOT_MACHINE = 2;
/** Multiplied by the free share of the machine's CPUs. */
const WEIGHT_OF_FREE_SHARE = 10;

/** Returns the youngest attempts whose stop would free enough capacity on the machine, or null if none suffice. */
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
      attempt.mayBeOnMachine() &&
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
 * Candidate machines for the tasks of one job. All machines are scored once per job, not once per task, since the tasks
 * of a job are alike. A score is a sum of costs. The fetch of the image usually costs most, since it takes longer than
 * anything else here; but a straggler, or with `minimizeCost` an ordinary machine that the job can avoid, costs as much
 * as several seconds of fetching. Then come preemption, replicas that are not kept apart, and a lack of free capacity.
 * With `minimizeCost`, services are bin-packed. Arrays and gangs never are; they prefer machines with much free
 * capacity: an array whose tasks fill few machines is affected by the loss of few machines, and a single lost task
 * makes it late.
 */
export class MachineCandidates {
  private readonly machines: Machine[] = [];
  /** Scores of `machines`, at the same index. */
  private readonly scores: number[] = [];
  /** Number of the job's tasks that may still be on machines, by machine and by zone. */
  private readonly tasksPerMachine = new Map<Machine, number>();
  private readonly tasksPerZone = new Map<string, number>();
  private readonly isZoneOpen: ZoneFilter | null;
  /** Number of machines scored, as a measure of the work of the selection. */
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

  /** Whether no machine can take a task; the same then holds for jobs of the same shape with the same zones open. */
  isEmpty(): boolean {
    return this.machines.length === 0;
  }

  /** Score of the machine; Infinity if the job can't run there. The cost by zone is added in `selectBest`. */
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

  /** Used with `minimizeCost`: prefers spot machines where the job allows them, and bin-packs services. */
  private rentCost(machine: Machine): number {
    const { spot, kind } = this.job.spec;
    const freeShare = machine.freeCpus() / machine.type.cpus;
    return (
      (spot && !machine.spot ? COST_OF_AVOIDABLE_ORDINARY_MACHINE : 0) +
      freeShare * (kind === 'service' ? WEIGHT_OF_FREE_SHARE : -WEIGHT_OF_FREE_SHARE)
    );
  }

  /** Used without `minimizeCost`: spreads the load over all machines. */
  private utilizationCost(machine: Machine): number {
    const freeShare = machine.freeCpus() / machine.type.cpus;
    return (
      (this.job.spec.spot && machine.spot ? COST_OF_SPOT_MACHINE : 0) -
      freeShare * WEIGHT_OF_FREE_SHARE
    );
  }

  /** Returns the best machine for the next task, or null if no machine can take it. */
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

  /** Updates counts and score after a task of the job was placed on the machine. */
  recordPlacement(machine: Machine): void {
    this.countTask(machine);
    const index = this.machines.indexOf(machine);
    if (index >= 0) this.scores[index] = this.score(machine);
  }
}
