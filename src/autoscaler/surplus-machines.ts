/** Determines which machines are surplus. The only side effect is that it sets and clears `drainReason` of machines. */
import type { Machine } from '../workers/machine.js';
import type { Demand, ScalingTargets } from './scaling-plan.js';

/** A machine that was requested more recently than this is not surplus yet. */
const MIN_AGE_MS = 60_000;

/** What determines which machines are kept. */
export interface SurplusCriteria {
  targets: ScalingTargets;
  demand: Demand;
  /** Machines whose room waiting tasks need, whatever the targets. */
  neededMachines: ReadonlySet<Machine>;
  /** Current time by the monotonic clock, in milliseconds. */
  now: number;
}

/** CPUs of the machines that are not surplus, in total and on ordinary machines. */
interface KeptCpus {
  total: number;
  ordinary: number;
}

function runsService(machine: Machine): boolean {
  for (const attempt of machine.attempts.values())
    if (attempt.mayBeOnMachine() && attempt.job?.spec.kind === 'service') return true;
  return false;
}

/** Adds the machine's CPUs to `kept`, or subtracts them if `sign` is -1. */
function adjustKept(kept: KeptCpus, machine: Machine, sign: 1 | -1): void {
  kept.total += sign * machine.type.cpus;
  if (!machine.spot) kept.ordinary += sign * machine.type.cpus;
}

/**
 * Marks machines beyond the targets as surplus. A surplus machine takes no new tasks and is deleted once its running
 * tasks have ended. If the demand rises before that, it is used again instead of requesting another machine.
 *
 * @param machines All machines that are up and not being deleted.
 */
export function markSurplus(machines: readonly Machine[], criteria: SurplusCriteria): void {
  const active = machines.filter((machine) => !machine.drainReason);
  const kept: KeptCpus = { total: 0, ordinary: 0 };
  for (const machine of active) if (isUsable(machine, criteria)) adjustKept(kept, machine, 1);
  unmarkNeeded(machines, criteria, kept);
  const usedShare = (machine: Machine): number => machine.usedCpus / machine.type.cpus;
  active.sort((a, b) => Number(a.spot) - Number(b.spot) || usedShare(a) - usedShare(b));
  for (const machine of active) {
    if (!isSurplus(machine, criteria, kept)) continue;
    if (isUsable(machine, criteria)) adjustKept(kept, machine, -1);
    machine.drainReason = 'surplus';
  }
}

/** Whether a task of some job may run on the machine; others are surplus, and do not count towards the targets. */
function isUsable(machine: Machine, { demand }: SurplusCriteria): boolean {
  return demand.isUsable(machine.type, machine.zone);
}

function unmarkNeeded(
  machines: readonly Machine[],
  criteria: SurplusCriteria,
  kept: KeptCpus,
): void {
  const { targets, neededMachines } = criteria;
  for (const machine of machines) {
    if (machine.drainReason !== 'surplus' || !isUsable(machine, criteria)) continue;
    const isTotalMissing = kept.total + machine.type.cpus / 2 < targets.totalCpus;
    const isOrdinaryMissing = !machine.spot && kept.ordinary < targets.ordinaryCpus;
    if (!isTotalMissing && !isOrdinaryMissing && !neededMachines.has(machine)) continue;
    machine.drainReason = null;
    adjustKept(kept, machine, 1);
  }
}

function isSurplus(machine: Machine, criteria: SurplusCriteria, kept: KeptCpus): boolean {
  const { targets, neededMachines, now } = criteria;
  if (neededMachines.has(machine) || runsService(machine)) return false;
  if (now - (machine.rentedAt ?? 0) < MIN_AGE_MS) return false;
  if (!isUsable(machine, criteria)) return true;
  const { cpus } = machine.type;
  if (kept.total - cpus < targets.totalCpus) return false;
  return machine.spot || kept.ordinary - cpus >= targets.ordinaryCpus;
}
