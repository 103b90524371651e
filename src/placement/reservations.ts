/**
 * Capacity that some jobs leave to others. Each reservation delays a job for a bounded time only: a job that has
 * started nothing for `MAX_YIELD_MS` ignores all of them, so that no job waits for long while capacity is free.
 */
import type { Job } from '../jobs/job.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import { placementGroups } from './gang-capacity.js';
import {
  NO_RESOURCES,
  ROUNDING_TOLERANCE,
  type Resources,
  addResources,
  scaleResources,
} from './resources.js';

/** The longest time for which a job yields to reservations. */
const MAX_YIELD_MS = 60_000;
/** How long an array that starts nothing leaves part of its team's limit to services that may arrive. */
const SERVICE_HEADROOM_MS = 30_000;
/** A reservation expires after this time unless the waiting gang renews it. */
const RESERVATION_TTL_MS = 1500;
/** At most this many tasks of a service count towards the headroom that arrays leave to it. */
const MAX_SERVICE_HEADROOM_TASKS = 4;

interface Reservation {
  readonly gang: Job;
  readonly expiresAt: number;
}

interface MachineReservation extends Reservation {
  readonly machines: ReadonlySet<Machine>;
}

function isActive<T extends Reservation>(reservation: T | null, now: number): reservation is T {
  if (!reservation || now >= reservation.expiresAt) return false;
  return reservation.gang.attempts.size === 0 && !reservation.gang.jobCancelled;
}

/** Reservations for waiting gangs, and the headroom under teams' limits that arrays leave to services. */
export class Reservations {
  /** Reserves machines on which a waiting gang will fit once the array tasks there have ended. */
  private machineReservation: MachineReservation | null = null;
  /** Reserves team limit for a gang that waits until its team's usage is far enough below the limit. */
  private teamLimitReservation: Reservation | null = null;
  /** By team, the most CPUs that one of its services needs for up to `MAX_SERVICE_HEADROOM_TASKS` of its tasks. */
  private readonly serviceCpus = new Map<string, number>();

  constructor(private readonly jobs: JobTable) {}

  /** Counts a service's size towards the headroom of its team; other jobs are ignored. */
  recordService(job: Job): void {
    const { kind, team, cpus, tasks } = job.spec;
    if (kind !== 'service') return;
    const wanted = cpus * Math.min(MAX_SERVICE_HEADROOM_TASKS, tasks);
    this.serviceCpus.set(team, Math.max(this.serviceCpus.get(team) ?? 0, wanted));
  }

  /** CPUs under the team's limit that an array leaves to the next service of its team. */
  serviceHeadroom(job: Job, now: number): number {
    if (job.spec.kind !== 'array' || now - job.lastStartAt > SERVICE_HEADROOM_MS) return 0;
    return this.serviceCpus.get(job.spec.team) ?? 0;
  }

  /**
   * Reserves machines for the gang. Only one gang has a reservation at a time: two gangs that each reserve half of what
   * they need would block each other.
   */
  reserveMachines(gang: Job, allowed: Machine[], now: number): void {
    const current = this.machineReservation;
    if (isActive(current, now) && current.gang !== gang) return;
    const machines = machinesToReserve(gang, allowed);
    this.machineReservation = { gang, machines, expiresAt: now + RESERVATION_TTL_MS };
  }

  /** The machines of the list that the job may use. Jobs of higher priority than the gang ignore its reservation. */
  withoutReserved(job: Job, machines: Machine[], now: number): Machine[] {
    const reservation = this.machineReservation;
    if (!isActive(reservation, now) || reservation.gang === job) return machines;
    const isHigherPriority = job.spec.priority < reservation.gang.spec.priority;
    if (isHigherPriority || this.ignoresReservations(job, now)) return machines;
    return machines.filter((machine) => !reservation.machines.has(machine));
  }

  /**
   * Reserves the team's limit for the gang. Until the reservation expires, the team's arrays start no tasks, so that
   * the part of the limit that their ending tasks free is left to the gang; see `yieldsTeamLimit` for exceptions.
   */
  reserveTeamLimit(gang: Job, now: number): void {
    this.teamLimitReservation = { gang, expiresAt: now + RESERVATION_TTL_MS };
  }

  /** Whether the job is an array that starts nothing for now, so that a gang of its team will fit under the limit. */
  yieldsTeamLimit(job: Job, now: number): boolean {
    const reservation = this.teamLimitReservation;
    if (job.spec.kind !== 'array' || !isActive(reservation, now)) return false;
    if (this.ignoresReservations(job, now)) return false;
    const { team, priority } = reservation.gang.spec;
    return job.spec.team === team && job.spec.priority >= priority;
  }

  /** Usage of the team's arrays: a gang that fits without them will fit once they have ended. */
  usedByArrays(team: string): Resources {
    let used = NO_RESOURCES;
    for (const { spec, attempts } of this.jobs.all())
      if (spec.kind === 'array' && spec.team === team)
        used = addResources(used, scaleResources(spec, attempts.size));
    return used;
  }

  private ignoresReservations(job: Job, now: number): boolean {
    return now - job.lastStartAt > MAX_YIELD_MS;
  }
}

/**
 * Number of the gang's tasks for which the machine has enough CPUs once the array tasks on it have ended; services
 * stay. An approximation: memory and GPUs are not considered.
 */
function slotsWithoutArrays(gang: Job, machine: Machine): number {
  let cpus = machine.freeCpus();
  for (const attempt of machine.attempts.values())
    if (attempt.mayBeOnMachine() && attempt.job?.spec.kind === 'array')
      cpus += attempt.job.spec.cpus;
  return Math.floor(cpus / Math.max(gang.spec.cpus, ROUNDING_TOLERANCE) + ROUNDING_TOLERANCE);
}

/**
 * Machines that have enough CPUs for the whole gang once the array tasks on them have ended, chosen by most free CPUs
 * first. Empty if there are not enough of them.
 */
function machinesToReserve(gang: Job, allowed: Machine[]): Set<Machine> {
  for (const group of placementGroups(gang, allowed)) {
    const chosen = new Set<Machine>();
    let slots = 0;
    for (const machine of [...group].sort((a, b) => b.freeCpus() - a.freeCpus())) {
      if (slots >= gang.spec.tasks) break;
      chosen.add(machine);
      slots += slotsWithoutArrays(gang, machine);
    }
    if (slots >= gang.spec.tasks) return chosen;
  }
  return new Set();
}
