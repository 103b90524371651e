/**
 * Capacity that some jobs leave to others. Each reservation delays a job for a bounded time only: whoever has
 * started nothing for `MAX_YIELD_MS` ignores all of them, so that no job waits for long beside free capacity.
 */
import type { Job, JobTable } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import { zonesInTurn } from './gang-state.js';
import { NO_RESOURCES, type Resources, plus, times } from './resources.js';

/** The longest time that a job yields to any reservation. */
export const MAX_YIELD_MS = 60_000;
/** How long an array leaves room under its team's limit to services that may come. */
const SERVICE_HEADROOM_MS = 30_000;
/** A reservation lapses after this time unless the waiting gang renews it. */
const RENEWAL_MS = 1500;
/** At most this many tasks of a service count for the headroom that arrays leave to it. */
const SERVICE_HEADROOM_TASKS = 4;

interface Reservation {
  gang: Job;
  until: number;
}

function holds(reservation: Reservation | null, now: number): reservation is Reservation {
  if (!reservation || now >= reservation.until) return false;
  return reservation.gang.attempts.size === 0 && !reservation.gang.jobCancelled;
}

export class Reservations {
  /** Machines on which a waiting gang will fit once the arrays there have ended. */
  private machines: (Reservation & { set: Set<Machine> }) | null = null;
  /** A gang that waits for room under its team's limit. */
  private teamLimit: Reservation | null = null;
  /** The most CPUs that one service asked of its team. */
  private readonly serviceCpus = new Map<string, number>();

  constructor(private readonly jobs: JobTable) {}

  noteService(job: Job): void {
    const { kind, team, cpus, tasks } = job.spec;
    if (kind !== 'service') return;
    const wanted = cpus * Math.min(SERVICE_HEADROOM_TASKS, tasks);
    this.serviceCpus.set(team, Math.max(this.serviceCpus.get(team) ?? 0, wanted));
  }

  /** CPUs under the team's limit that an array leaves to its team's next service. */
  serviceHeadroom(job: Job, now: number): number {
    if (job.spec.kind !== 'array' || now - job.startedAt > SERVICE_HEADROOM_MS) return 0;
    return this.serviceCpus.get(job.spec.team) ?? 0;
  }

  /** One gang at a time: two gangs that reserve half of what each needs would block one another. */
  reserveMachines(gang: Job, allowed: Machine[], now: number): void {
    if (holds(this.machines, now) && this.machines.gang !== gang) return;
    this.machines = { gang, set: machinesInTime(gang, allowed), until: now + RENEWAL_MS };
  }

  /** The machines of the list that the job may use. More urgent jobs ignore reservations. */
  withoutReserved(job: Job, list: Machine[], now: number): Machine[] {
    const reserved = this.machines;
    if (!holds(reserved, now) || reserved.gang === job) return list;
    if (job.spec.priority < reserved.gang.spec.priority || this.isOverdue(job, now)) return list;
    return list.filter((m) => !reserved.set.has(m));
  }

  reserveTeamLimit(gang: Job, now: number): void {
    this.teamLimit = { gang, until: now + RENEWAL_MS };
  }

  /** Does the array start nothing for now, so that a gang of its team comes to fit under the team's limit? */
  yieldsTeamLimit(job: Job, now: number): boolean {
    if (job.spec.kind !== 'array' || !holds(this.teamLimit, now) || this.isOverdue(job, now))
      return false;
    const { spec } = this.teamLimit.gang;
    return job.spec.team === spec.team && job.spec.priority >= spec.priority;
  }

  /** What the team's arrays use: a gang that fits without them will fit once they have ended. */
  usedByArrays(team: string): Resources {
    let used = NO_RESOURCES;
    for (const { spec, attempts } of this.jobs.all())
      if (spec.kind === 'array' && spec.team === team)
        used = plus(used, times(spec, attempts.size));
    return used;
  }

  private isOverdue(job: Job, now: number): boolean {
    return now - job.startedAt > MAX_YIELD_MS;
  }
}

/** How many of the gang's tasks the machine takes once the arrays' tasks on it have ended; services stay. */
function slotsInTime(gang: Job, machine: Machine): number {
  let cpus = machine.freeCpus();
  for (const attempt of machine.attempts.values())
    if (attempt.onMachine() && attempt.job?.spec.kind === 'array') cpus += attempt.job.spec.cpus;
  return Math.floor(cpus / Math.max(gang.spec.cpus, 1e-6) + 1e-6);
}

/** Machines of one zone with room for the whole gang in time, those with most free room first. */
function machinesInTime(gang: Job, allowed: Machine[]): Set<Machine> {
  const groups = gang.spec.oneZone ? zonesInTurn(gang, allowed) : [allowed];
  for (const list of groups) {
    const chosen = new Set<Machine>();
    let slots = 0;
    for (const machine of [...list].sort((a, b) => b.freeCpus() - a.freeCpus())) {
      if (slots >= gang.spec.tasks) break;
      chosen.add(machine);
      slots += slotsInTime(gang, machine);
    }
    if (slots >= gang.spec.tasks) return chosen;
  }
  return new Set();
}
