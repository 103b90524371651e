/** Where a task goes: pure decisions over the leader's tables. */
import type { Job } from '../jobs/job-table.js';
import type { JobSpec } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';
import type { TaskAttempt } from '../workers/task-attempt.js';

export interface ChoiceContext {
  /** Cheap machines first and full ones before empty ones, so that some can be returned. */
  saveMoney: boolean;
  /** May this task be stopped to give the job room? */
  mayPreempt(victim: TaskAttempt, job: Job): boolean;
}

export interface Choice {
  machine: Machine;
  victims: TaskAttempt[];
}

const EPS = 1e-6;

export function allowedOn(s: JobSpec, m: Machine): boolean {
  return (
    (s.types === null || s.types.includes(m.type.name)) &&
    (s.zone === null || s.zone === m.zone) &&
    (s.spot || !m.spot)
  );
}

/** Zones that the job's other tasks leave open; all that may still be somewhere are counted. Null: any zone. */
export function openZones(job: Job): ((zone: string) => boolean) | null {
  if (!job.spec.spread && !job.spec.oneZone) return null;
  const perZone = new Map<string, number>();
  for (const list of job.attempts.values())
    for (const e of list) perZone.set(e.machine.zone, (perZone.get(e.machine.zone) ?? 0) + 1);
  return zonesLeftOpen(job.spec, perZone);
}

/** Jobs of one shape and with the same text here have the same zones open. */
export function closedZones(job: Job, zones: Iterable<string>): string {
  const open = openZones(job);
  return open ? [...zones].filter((z) => !open(z)).join('+') : '';
}

function zonesLeftOpen(
  s: JobSpec,
  perZone: Map<string, number>,
): ((zone: string) => boolean) | null {
  if (!s.spread && !s.oneZone) return null;
  const most = Math.ceil(s.tasks / 2);
  return (zone) => {
    if (s.oneZone && perZone.size > 0 && !(perZone.size === 1 && perZone.has(zone))) return false;
    return !s.spread || (perZone.get(zone) ?? 0) + 1 <= most;
  };
}

/** Free room for one task, beside CPUs that are promised to others. */
export function hasFreeRoom(s: JobSpec, m: Machine, promisedCpus = 0): boolean {
  return fits(s, m.freeCpus() - promisedCpus, m.freeGpus(), m.freeMemory());
}

function fits(s: JobSpec, cpus: number, gpus: number, memory: number): boolean {
  return cpus + EPS >= s.cpus && gpus + EPS >= s.gpus && memory + EPS >= s.memoryGb;
}

/** The youngest tasks whose end would make room, or null. */
export function victimsFor(job: Job, m: Machine, ctx: ChoiceContext): TaskAttempt[] | null {
  const s = job.spec;
  let [cpus, gpus, memory] = [m.freeCpus(), m.freeGpus(), m.freeMemory()];
  if (fits(s, cpus, gpus, memory)) return [];
  const candidates = [...m.attempts.values()].filter(
    (e) =>
      e.onMachine() &&
      !e.startUnacknowledged &&
      !e.stop &&
      e.job !== null &&
      e.state !== 'saving' &&
      ctx.mayPreempt(e, job),
  );
  candidates.sort((a, b) => b.createdAt - a.createdAt);
  const victims: TaskAttempt[] = [];
  for (const e of candidates) {
    victims.push(e);
    cpus += e.job?.spec.cpus ?? 0;
    gpus += e.job?.spec.gpus ?? 0;
    memory += e.job?.spec.memoryGb ?? 0;
    if (fits(s, cpus, gpus, memory)) return victims;
  }
  return null;
}

/** Expected seconds until the machine has the job's image. */
export function imageFetchSeconds(s: JobSpec, m: Machine): number {
  if (m.images.has(s.image)) return 0;
  const full = s.imageGb / m.type.fetchGbPerS;
  if (m.fetching.has(s.image)) return full / 2;
  return m.fetching.size > 0 ? full * 2 : full;
}

/**
 * The machines for the tasks of one job. All machines are scored once and not once a task: like tasks are
 * decided as a class. Warm images first, since a fetch takes longer than anything else here; then no
 * preemption; replicas apart; then most free room. Services take the fullest machines where money counts. Arrays
 * never do: a job whose tasks fill few machines is hit by the loss of few, and one lost task makes it late.
 */
export class Candidates {
  private readonly list: Machine[] = [];
  private readonly scores: number[] = [];
  private readonly here = new Map<Machine, number>();
  /** All of the job's tasks that may still be somewhere, by zone. */
  private readonly perZone = new Map<string, number>();
  /** How many machines were looked at: what a pass costs. */
  looked = 0;

  constructor(
    private readonly job: Job,
    machines: Iterable<Machine>,
    private readonly ctx: ChoiceContext,
  ) {
    for (const list of job.attempts.values()) for (const e of list) this.count(e.machine);
    // A zone that is closed to the job stays closed while its tasks are placed.
    const open = zonesLeftOpen(job.spec, this.perZone);
    for (const m of machines) {
      if (open && !open(m.zone)) continue;
      this.looked++;
      const score = this.score(m);
      if (score === Infinity) continue;
      this.list.push(m);
      this.scores.push(score);
    }
  }

  private count(m: Machine): void {
    this.here.set(m, (this.here.get(m) ?? 0) + 1);
    this.perZone.set(m.zone, (this.perZone.get(m.zone) ?? 0) + 1);
  }

  /** Some machine has room: jobs of the same shape with the same zones open need not look if none has. */
  any(): boolean {
    return this.list.length > 0;
  }

  /** Lower is better; what depends on the job's zones is added in `best`. */
  private score(m: Machine): number {
    const { job, ctx } = this;
    const s = job.spec;
    if (!allowedOn(s, m) || job.failedOn.has(m.index)) return Infinity;
    const victims = victimsFor(job, m, ctx);
    if (!victims) return Infinity;
    const freeShare = m.freeCpus() / m.type.cpus;
    return (
      imageFetchSeconds(s, m) * 100 +
      victims.length * 120 +
      (m.isStraggler ? 400 : 0) +
      this.company(m) +
      (ctx.saveMoney
        ? (s.spot && !m.spot ? 600 : 0) + freeShare * (s.kind === 'service' ? 10 : -10)
        : (s.spot && m.spot ? 2 : 0) - freeShare * 10)
    );
  }

  /** Replicas keep apart. Tasks of an array keep together: the loss of a machine then hits few jobs. */
  private company(m: Machine): number {
    const here = this.here.get(m) ?? 0;
    return this.job.spec.kind === 'service' ? here * 50 : here > 0 ? -30 : 0;
  }

  /** The best machine for the next task, or null. */
  best(): Choice | null {
    const s = this.job.spec;
    const open = zonesLeftOpen(s, this.perZone);
    let at = -1;
    let least = Infinity;
    for (let i = 0; i < this.list.length; i++) {
      const zone = this.list[i].zone;
      const score =
        this.scores[i] +
        (s.kind === 'service' && s.tasks > 1 ? (this.perZone.get(zone) ?? 0) * 5 : 0);
      if (score >= least || (open && !open(zone))) continue;
      least = score;
      at = i;
    }
    if (at < 0) return null;
    const machine = this.list[at];
    const victims = victimsFor(this.job, machine, this.ctx);
    return victims && { machine, victims };
  }

  /** A task was placed there. */
  placed(m: Machine): void {
    this.count(m);
    const i = this.list.indexOf(m);
    if (i >= 0) this.scores[i] = this.score(m);
  }
}
