/** Which machines are more than the fleet needs: pure, apart from the mark on the machine. */
import type { Machine } from '../workers/machine.js';
import type { Targets } from './scaling-plan.js';

/** A machine that was rented more recently than this is not returned yet. */
const MIN_AGE_MS = 60_000;

/** CPUs of the machines that stay, in all and on ordinary machines. */
interface Kept {
  total: number;
  ordinary: number;
}

function runsService(machine: Machine): boolean {
  for (const attempt of machine.attempts.values())
    if (attempt.onMachine() && attempt.job?.spec.kind === 'service') return true;
  return false;
}

function add(kept: Kept, machine: Machine, sign: 1 | -1): void {
  kept.total += sign * machine.type.cpus;
  if (!machine.spot) kept.ordinary += sign * machine.type.cpus;
}

/**
 * Machines beyond the target take nothing new, and go once they are empty: their tasks are left to finish.
 * When the demand comes back first, they are taken into use again instead of renting others.
 */
export function markSurplus(up: Machine[], target: Targets, now: number): void {
  const active = up.filter((m) => !m.drainReason);
  const kept: Kept = { total: 0, ordinary: 0 };
  for (const machine of active) add(kept, machine, 1);
  for (const machine of up) {
    if (machine.drainReason !== 'surplus') continue;
    const missing = kept.total + machine.type.cpus / 2 < target.total;
    if (!missing && (machine.spot || kept.ordinary >= target.ordinary)) continue;
    machine.drainReason = null;
    add(kept, machine, 1);
  }
  const busy = (m: Machine): number => m.usedCpus / m.type.cpus;
  active.sort((a, b) => Number(a.spot) - Number(b.spot) || busy(a) - busy(b));
  for (const machine of active) {
    const { cpus } = machine.type;
    if (kept.total - cpus < target.total) continue;
    if (!machine.spot && kept.ordinary - cpus < target.ordinary) continue;
    if (runsService(machine) || now - (machine.rentedAt ?? 0) < MIN_AGE_MS) continue;
    add(kept, machine, -1);
    machine.drainReason = 'surplus';
  }
}
