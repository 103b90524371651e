/** Tracks how much capacity services and gangs have requested recently; older demand decays. */
import type { Job } from '../jobs/job.js';

/** Time constant of the exponential decay. */
const DECAY_TIME_S = 40;

interface DecayingDemand {
  cpus: number;
  at: number;
}

/** Demand of arriving jobs, decayed to the present time. */
export class DemandHistory {
  private services: DecayingDemand = { cpus: 0, at: 0 };
  private largestGang: DecayingDemand = { cpus: 0, at: 0 };

  constructor(private readonly now: () => number) {}

  private decayed(demand: DecayingDemand): number {
    return demand.cpus * Math.exp(-(this.now() - demand.at) / (DECAY_TIME_S * 1000));
  }

  /** Counts a job that was added to the job table; services count only if they arrived in this leadership term. */
  record(job: Job): void {
    const cpus = job.spec.cpus * job.spec.tasks;
    const at = this.now();
    if (job.spec.kind === 'service' && job.createdInThisTerm)
      this.services = { cpus: this.decayed(this.services) + cpus, at };
    if (job.spec.kind === 'gang')
      this.largestGang = { cpus: Math.max(cpus, this.decayed(this.largestGang)), at };
  }

  /** CPUs per second that arriving services have requested. */
  serviceCpusPerSecond(): number {
    return this.decayed(this.services) / DECAY_TIME_S;
  }

  /** CPUs of the largest recent gang. */
  largestGangCpus(): number {
    return this.decayed(this.largestGang);
  }
}
