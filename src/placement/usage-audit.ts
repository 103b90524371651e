/**
 * Checks the teams' sums at intervals against the table of attempts that they were summed from. A wrong sum would let a
 * team start more than its limit allows without any other sign.
 */
import type { Log } from '../runtime.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { AttemptState } from '../workers/task-attempt.js';
import type { DecisionLog } from './decision-log.js';
import { type TeamUsage, differ } from './team-usage.js';
import { NO_RESOURCES, type Resources } from './resources.js';

/** A recount passes all attempts: some thousands of them take about a millisecond. */
const AUDIT_MS = 5000;

/** The text of the error that a broken invariant is logged with. */
export const TEAM_USAGE_VIOLATION = 'team usage does not hold';

export type UsageFault =
  | { kind: 'wrong-sum'; counted: Resources; recounted: Resources }
  | { kind: 'over-limit'; onMachines: Resources; limit: Resources };

interface MutableResources {
  cpus: number;
  gpus: number;
}

interface Recount {
  /** Attempts that may be on machines. */
  readonly held: MutableResources;
  /** Attempts that machines under our token report as having their image. */
  readonly onMachines: MutableResources;
}

const NOTHING: Recount = { held: { cpus: 0, gpus: 0 }, onMachines: { cpus: 0, gpus: 0 } };
const WITH_IMAGE: ReadonlySet<AttemptState> = new Set(['waiting', 'running', 'saving']);

/** Adds in place: a recount passes tens of thousands of attempts in a large fleet. */
function add(sum: MutableResources, amount: Resources): void {
  sum.cpus += amount.cpus;
  sum.gpus += amount.gpus;
}

function recountOf(teams: Map<string, Recount>, team: string): Recount {
  let recount = teams.get(team);
  if (!recount) {
    recount = { held: { cpus: 0, gpus: 0 }, onMachines: { cpus: 0, gpus: 0 } };
    teams.set(team, recount);
  }
  return recount;
}

function recount(table: MachineTable): Map<string, Recount> {
  const teams = new Map<string, Recount>();
  for (const machine of table.all()) {
    if (machine.attempts.size === 0) continue;
    // What an older token shows may be long gone, and be counted a second time where it runs now.
    const isCertain = machine.isReconciled();
    for (const attempt of machine.attempts.values()) {
      if (!attempt.job || !attempt.onMachine()) continue;
      const { spec } = attempt.job;
      const sums = recountOf(teams, spec.team);
      add(sums.held, spec);
      if (isCertain && WITH_IMAGE.has(attempt.state)) add(sums.onMachines, spec);
    }
  }
  return teams;
}

export interface UsageAuditDependencies {
  table: MachineTable;
  usage: TeamUsage;
  decisions: DecisionLog;
  log: Log;
}

export class UsageAudit {
  private auditedAt = -Infinity;

  constructor(private readonly deps: UsageAuditDependencies) {}

  /** Audits all teams if it is time to. */
  tick(now: number): void {
    if (now - this.auditedAt < AUDIT_MS) return;
    this.auditedAt = now;
    const recounted = recount(this.deps.table);
    for (const { team, used } of this.deps.usage.quotaStatuses())
      this.audit(team, used, recounted.get(team) ?? NOTHING);
  }

  private audit(team: string, counted: Resources, { held, onMachines }: Recount): void {
    const { usage, log } = this.deps;
    if (differ(counted, held)) {
      usage.correct(team, held);
      this.suspend(team, { kind: 'wrong-sum', counted, recounted: held });
    } else if (usage.isOverLimit(team, onMachines)) {
      const limit = usage.quotaStatus(team)?.limit ?? NO_RESOURCES;
      this.suspend(team, { kind: 'over-limit', onMachines, limit });
    } else if (usage.isSuspended(team)) {
      usage.suspend(team, false);
      log.info({ team }, 'team usage holds again');
    }
  }

  /** Nothing of the team starts until an audit finds that its sums hold. */
  private suspend(team: string, fault: UsageFault): void {
    const { usage, decisions, log } = this.deps;
    if (usage.isSuspended(team) && fault.kind === 'over-limit') return;
    usage.suspend(team, true);
    log.error({ team, ...fault, decisions: decisions.recent(team) }, TEAM_USAGE_VIOLATION);
  }
}
