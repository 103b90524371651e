/**
 * Periodically checks the teams' usage sums, which are updated whenever an attempt is added or has ended, against the
 * attempts in the machine table. A wrong sum would let a team start more than its limit allows without any other sign.
 */
import type { Log } from '../runtime.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { AttemptState } from '../workers/task-attempt.js';
import type { DecisionLog } from './decision-log.js';
import { NO_RESOURCES, type Resources } from './resources.js';
import { type TeamUsage, resourcesDiffer } from './team-usage.js';

/** A recount iterates over all attempts; several thousand of them take about a millisecond. */
const AUDIT_INTERVAL_MS = 5000;

/** The message of the error log line for a violated invariant; tests and the soak run match it. */
export const TEAM_USAGE_VIOLATION = 'team usage invariant violated';

/** Finding of an audit: a wrong sum, or a team that uses more on reconciled machines than its limit. */
type UsageViolation =
  | { kind: 'wrong-sum'; counted: Resources; recounted: Resources }
  | { kind: 'over-limit'; onMachines: Resources; limit: Resources };

interface MutableResources {
  cpus: number;
  gpus: number;
}

interface Recount {
  /** Usage of attempts that may be on machines. */
  readonly charged: MutableResources;
  /** Usage of attempts that reconciled machines report as having their image. */
  readonly onMachines: MutableResources;
}

const STATES_WITH_IMAGE: ReadonlySet<AttemptState> = new Set(['waiting', 'running', 'saving']);

function emptyRecount(): Recount {
  return { charged: { cpus: 0, gpus: 0 }, onMachines: { cpus: 0, gpus: 0 } };
}

const EMPTY_RECOUNT: Recount = emptyRecount();

/** Adds in place, since a recount iterates over tens of thousands of attempts in a large fleet. */
function addTo(sum: MutableResources, amount: Resources): void {
  sum.cpus += amount.cpus;
  sum.gpus += amount.gpus;
}

function recountOf(teams: Map<string, Recount>, team: string): Recount {
  let recount = teams.get(team);
  if (!recount) {
    recount = emptyRecount();
    teams.set(team, recount);
  }
  return recount;
}

function recountByTeam(table: MachineTable): Map<string, Recount> {
  const teams = new Map<string, Recount>();
  for (const machine of table.all()) {
    if (machine.attempts.size === 0) continue;
    // An attempt reported with an older token may have ended long ago, and its task may be counted a second time on the
    // machine where it runs now.
    const isReconciled = machine.isReconciled();
    for (const attempt of machine.attempts.values()) {
      if (!attempt.job || !attempt.mayBeOnMachine()) continue;
      const { spec } = attempt.job;
      const recount = recountOf(teams, spec.team);
      addTo(recount.charged, spec);
      if (isReconciled && STATES_WITH_IMAGE.has(attempt.state)) addTo(recount.onMachines, spec);
    }
  }
  return teams;
}

/** Dependencies of `UsageAudit`. */
export interface UsageAuditDependencies {
  table: MachineTable;
  usage: TeamUsage;
  decisions: DecisionLog;
  log: Log;
}

/** Audits the teams' usage, corrects wrong sums, and suspends teams until their usage is correct again. */
export class UsageAudit {
  private auditedAt = -Infinity;

  constructor(private readonly deps: UsageAuditDependencies) {}

  /** Audits all teams if the interval has elapsed. */
  tick(now: number): void {
    if (now - this.auditedAt < AUDIT_INTERVAL_MS) return;
    this.auditedAt = now;
    const recounts = recountByTeam(this.deps.table);
    for (const { team, used } of this.deps.usage.quotaStatuses())
      this.audit(team, used, recounts.get(team) ?? EMPTY_RECOUNT);
  }

  private audit(team: string, counted: Resources, { charged, onMachines }: Recount): void {
    const { usage, log } = this.deps;
    if (resourcesDiffer(counted, charged)) {
      usage.correctUsed(team, charged);
      this.suspend(team, { kind: 'wrong-sum', counted, recounted: charged });
    } else if (usage.isOverLimit(team, onMachines)) {
      const limit = usage.quotaStatus(team)?.limit ?? NO_RESOURCES;
      this.suspend(team, { kind: 'over-limit', onMachines, limit });
    } else if (usage.isSuspended(team)) {
      usage.setSuspended(team, false);
      log.info({ team }, 'team usage invariant restored');
    }
  }

  /** Logs the violation and suspends the team: nothing of it starts until an audit finds no violation. */
  private suspend(team: string, violation: UsageViolation): void {
    const { usage, decisions, log } = this.deps;
    if (usage.isSuspended(team) && violation.kind === 'over-limit') return;
    usage.setSuspended(team, true);
    log.error({ team, ...violation, decisions: decisions.recent(team) }, TEAM_USAGE_VIOLATION);
  }
}
