/** Gangs: all tasks run at the same time or none does. Pure functions over one job's attempts. */
import type { Job } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { TaskAttempt } from '../workers/task-attempt.js';

/**
 * absent: no task of it can be on any machine.
 * gathering: tasks of one attempt fetch their image or wait for each other; none has begun.
 * running: at least one task runs, so all of them have begun.
 * leaving: it was told to stop, or tasks of different attempts are left; nothing starts until all are gone.
 */
export type GangState = 'absent' | 'gathering' | 'running' | 'leaving';

export function attemptsOf(job: Job): TaskAttempt[] {
  return [...job.attempts.values()].flat();
}

export function gangState(job: Job): GangState {
  const attempts = attemptsOf(job);
  if (attempts.length === 0) return 'absent';
  const { attempt: number } = attempts[0];
  const mixed = attempts.length > job.attempts.size || attempts.some((a) => a.attempt !== number);
  const stopped = attempts.some((a) => a.stop !== null && !a.stop.replaced);
  if (mixed || stopped || job.gangAttemptAborted) return 'leaving';
  return attempts.some((a) => a.state === 'running' || a.state === 'saving')
    ? 'running'
    : 'gathering';
}

/** The attempt number by which workers tell which tasks belong to the same start of the gang. */
export function gangAttempt(job: Job): number | null {
  return attemptsOf(job)[0]?.attempt ?? null;
}

/** Numbers of the tasks that are on no machine. */
export function missingTasks(job: Job): number[] {
  const missing: number[] = [];
  for (let taskNumber = 0; taskNumber < job.spec.tasks; taskNumber++)
    if (!job.attempts.has(taskNumber)) missing.push(taskNumber);
  return missing;
}

/** Milliseconds until the first waiting task gives up; Infinity while none waits. */
export function waitLeftMs(job: Job, gangWaitMs: number, now: number): number {
  const waiting = attemptsOf(job).filter((a) => a.state === 'waiting');
  return Math.min(Infinity, ...waiting.map((a) => a.waitingSince + gangWaitMs - now));
}

/** How many tasks of the job the machine has room for. */
export function slots(job: Job, machine: Machine): number {
  const { cpus, gpus, memoryGb, tasks } = job.spec;
  const fit = (free: number, need: number): number =>
    need > 0 ? Math.floor(free / need + 1e-6) : Infinity;
  const room = Math.min(
    fit(machine.freeCpus(), cpus),
    fit(machine.freeGpus(), gpus),
    fit(machine.freeMemory(), memoryGb),
    tasks,
  );
  return Math.max(0, room);
}

interface ZoneRoom {
  machines: Machine[];
  /** Tasks that find room on machines of normal speed that have the image. */
  warm: number;
  room: number;
}

/** The machines zone by zone: first where most tasks find the image and normal speed, then where most find room. */
export function zonesInTurn(job: Job, machines: Machine[]): Machine[][] {
  const zones = new Map<string, ZoneRoom>();
  for (const machine of machines) {
    const zone = zones.get(machine.zone) ?? { machines: [], warm: 0, room: 0 };
    const room = slots(job, machine);
    zone.machines.push(machine);
    zone.room += room;
    if (!machine.isStraggler && machine.images.has(job.spec.image)) zone.warm += room;
    zones.set(machine.zone, zone);
  }
  const warmTasks = (zone: ZoneRoom): number => Math.min(zone.warm, job.spec.tasks);
  return [...zones.values()]
    .sort((a, b) => warmTasks(b) - warmTasks(a) || b.room - a.room)
    .map((zone) => zone.machines);
}

/** Is there free room for a whole gang, in one zone if it asks for that? */
export function fitsWhole(job: Job, machines: Machine[]): boolean {
  const groups = job.spec.oneZone ? zonesInTurn(job, machines) : [machines];
  const room = (group: Machine[]): number =>
    group.reduce((sum, machine) => sum + slots(job, machine), 0);
  return groups.some((group) => room(group) >= job.spec.tasks);
}
