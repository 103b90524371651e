/** Where a task goes: pure decisions over the leader's tables. */
import type { Job } from '../jobs/book.js';
import type { JobSpec } from '../wire/model.js';
import type { Entry, Machine } from '../workers/table.js';

export interface ChoiceContext {
  now: number;
  /** Machines that may be given new work now. */
  usable(m: Machine): boolean;
  /** Cheap machines first and full ones before empty ones, so that some can be returned. */
  saveMoney: boolean;
  /** May this task be stopped to give the job room? */
  mayPreempt(victim: Entry, job: Job): boolean;
}

export interface Choice {
  machine: Machine;
  victims: Entry[];
}

const EPS = 1e-6;

export function allowedOn(s: JobSpec, m: Machine): boolean {
  return (
    (s.types === null || s.types.includes(m.type.name)) &&
    (s.zone === null || s.zone === m.zone) &&
    (s.spot || !m.spot)
  );
}

/**
 * Zones that the job's other tasks leave open; all that may still be somewhere are counted. Null: any zone.
 */
export function openZones(job: Job): ((zone: string) => boolean) | null {
  const s = job.spec;
  if (!s.spread && !s.oneZone) return null;
  const perZone = new Map<string, number>();
  for (const list of job.held.values())
    for (const e of list) perZone.set(e.machine.zone, (perZone.get(e.machine.zone) ?? 0) + 1);
  const most = Math.ceil(s.tasks / 2);
  return (zone) => {
    if (s.oneZone && perZone.size > 0 && !(perZone.size === 1 && perZone.has(zone))) return false;
    return !s.spread || (perZone.get(zone) ?? 0) + 1 <= most;
  };
}

function fits(s: JobSpec, cpus: number, gpus: number, memory: number): boolean {
  return cpus + EPS >= s.cpus && gpus + EPS >= s.gpus && memory + EPS >= s.memoryGb;
}

/** The youngest tasks whose end would make room, or null. */
export function victimsFor(job: Job, m: Machine, ctx: ChoiceContext): Entry[] | null {
  const s = job.spec;
  let [cpus, gpus, memory] = [m.freeCpus(), m.freeGpus(), m.freeMemory()];
  if (fits(s, cpus, gpus, memory)) return [];
  const candidates = [...m.entries.values()].filter(
    (e) =>
      e.onMachine() && !e.open && !e.stop && e.job !== null && e.state !== 'saving' && ctx.mayPreempt(e, job),
  );
  candidates.sort((a, b) => b.createdAt - a.createdAt);
  const victims: Entry[] = [];
  for (const e of candidates) {
    const v = e.job!.spec;
    victims.push(e);
    cpus += v.cpus;
    gpus += v.gpus;
    memory += v.memoryGb;
    if (fits(s, cpus, gpus, memory)) return victims;
  }
  return null;
}

function fetchDelay(s: JobSpec, m: Machine): number {
  if (m.images.has(s.image)) return 0;
  const full = s.imageGb / m.type.fetchGbPerS;
  let fetches = 0;
  for (const e of m.entries.values()) {
    if (e.state !== 'fetching' && e.state !== 'ordered') continue;
    if (e.job?.spec.image === s.image) return full / 2;
    fetches++;
  }
  return fetches > 0 ? full * 2 : full;
}

/**
 * The machine for one task of the job, or null. Warm images first, since a fetch takes longer than anything
 * else here; then no preemption; replicas apart; then most free room (or least, to save money).
 */
export function chooseMachine(job: Job, machines: Iterable<Machine>, ctx: ChoiceContext): Choice | null {
  const s = job.spec;
  const zoneOpen = openZones(job);
  const here = new Map<number, number>();
  const zones = new Map<string, number>();
  if (s.kind === 'service')
    for (const list of job.held.values())
      for (const e of list) {
        here.set(e.machine.idx, (here.get(e.machine.idx) ?? 0) + 1);
        zones.set(e.machine.zone, (zones.get(e.machine.zone) ?? 0) + 1);
      }
  let best: Choice | null = null;
  let bestScore = Infinity;
  for (const m of machines) {
    if (!ctx.usable(m) || !allowedOn(s, m) || job.failedOn.has(m.idx)) continue;
    if (zoneOpen && !zoneOpen(m.zone)) continue;
    const victims = victimsFor(job, m, ctx);
    if (!victims) continue;
    const freeShare = m.freeCpus() / m.type.cpus;
    const score =
      fetchDelay(s, m) * 100 +
      victims.length * 120 +
      (m.slow ? 400 : 0) +
      (here.get(m.idx) ?? 0) * 50 +
      (zones.get(m.zone) ?? 0) * 5 +
      (ctx.saveMoney
        ? (s.spot && !m.spot ? 600 : 0) + freeShare * 10
        : (s.spot && m.spot ? 2 : 0) - freeShare * 10);
    if (score < bestScore) {
      bestScore = score;
      best = { machine: m, victims };
    }
  }
  return best;
}
