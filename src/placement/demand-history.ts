/** How much capacity services and gangs have asked for lately; older demand decays. */
import type { Job } from '../jobs/job-table.js';

/** Time constant of the decay. */
const DECAY_S = 40;

interface Decaying {
  cpus: number;
  at: number;
}

export class DemandHistory {
  private services: Decaying = { cpus: 0, at: 0 };
  private largestGang: Decaying = { cpus: 0, at: 0 };

  constructor(private readonly now: () => number) {}

  private current(value: Decaying): number {
    return value.cpus * Math.exp(-(this.now() - value.at) / (DECAY_S * 1000));
  }

  note(job: Job): void {
    const cpus = job.spec.cpus * job.spec.tasks;
    const at = this.now();
    if (job.spec.kind === 'service' && job.createdInThisTerm)
      this.services = { cpus: this.current(this.services) + cpus, at };
    if (job.spec.kind === 'gang')
      this.largestGang = { cpus: Math.max(cpus, this.current(this.largestGang)), at };
  }

  /** CPUs a second that arriving services have asked for. */
  serviceCpusPerSecond(): number {
    return this.current(this.services) / DECAY_S;
  }

  /** CPUs of the largest recent gang. */
  gangCpus(): number {
    return this.current(this.largestGang);
  }
}
