/**
 * Tracks each team's usage against its guarantee and its limit. Only this module decides whether a team may use more:
 * for arrays, services, gangs, and tasks that restart after a move or a preemption.
 */
import type { Team } from '../settings/platform.js';
import type { JobSpec } from '../wire/model.js';
import {
  NO_RESOURCES,
  ROUNDING_TOLERANCE,
  type Resources,
  addResources,
  scaleResources,
  wholeTasks,
} from './resources.js';

/** A team's usage at one moment. */
export interface QuotaStatus {
  team: string;
  /** Usage of all attempts that may be on machines. */
  used: Resources;
  /** Upper bound of the usage that no heartbeat has reported yet. */
  unconfirmed: Resources;
  limit: Resources;
  /** Highest share of the limit that was in use since the last `resetPeaks`. */
  peakShare: number;
}

/** A start of tasks that is checked against its team's quota. */
export interface StartRequest {
  spec: JobSpec;
  /** Number of tasks that start together. */
  tasks: number;
  /** CPUs under the limit that are left to other jobs. */
  headroomCpus: number;
}

interface Account {
  readonly team: Team;
  readonly limit: Resources;
  used: Resources;
  unconfirmed: Resources;
  peakShare: number;
  /** Set when an audit finds a violation; nothing of the team starts until a later audit finds none. */
  suspended: boolean;
}

function exceeds(amount: Resources, limit: Resources): boolean {
  return (
    amount.cpus > limit.cpus + ROUNDING_TOLERANCE || amount.gpus > limit.gpus + ROUNDING_TOLERANCE
  );
}

/** Whether the two sums differ by more than rounding errors. */
export function resourcesDiffer(left: Resources, right: Resources): boolean {
  return exceeds(left, right) || exceeds(right, left);
}

function shareOf(used: Resources, limit: Resources): number {
  const cpus = limit.cpus < Infinity ? used.cpus / limit.cpus : 0;
  const gpus = limit.gpus < Infinity ? used.gpus / limit.gpus : 0;
  return Math.max(cpus, gpus);
}

function usageAfter(account: Account, { spec, tasks, headroomCpus }: StartRequest): Resources {
  const before = addResources(account.used, account.unconfirmed);
  const after = addResources(before, scaleResources(spec, tasks));
  return addResources(after, { cpus: headroomCpus, gpus: 0 });
}

/** Counts each team's usage, including all attempts that may still be on machines, and checks starts against limits. */
export class TeamUsage {
  private readonly accounts = new Map<string, Account>();

  constructor(teams: Team[]) {
    for (const team of teams)
      this.accounts.set(team.name, {
        team,
        limit: { cpus: team.cpusMax, gpus: team.gpusMax },
        used: NO_RESOURCES,
        unconfirmed: NO_RESOURCES,
        peakShare: 0,
        suspended: false,
      });
  }

  /** Adds the usage of an attempt that may be on a machine from now on. */
  charge(spec: JobSpec): void {
    const account = this.accounts.get(spec.team);
    if (!account) return;
    account.used = addResources(account.used, spec);
    account.peakShare = Math.max(account.peakShare, shareOf(account.used, account.limit));
  }

  /** Subtracts the usage of an attempt that is guaranteed to be on no machine any more. */
  refund(spec: JobSpec): void {
    const account = this.accounts.get(spec.team);
    if (account) account.used = addResources(account.used, scaleResources(spec, -1));
  }

  /** Sets, by team, the usage that no heartbeat has reported yet; teams missing from the map have none. */
  setUnconfirmed(unconfirmed: ReadonlyMap<string, Resources>): void {
    for (const [name, account] of this.accounts)
      account.unconfirmed = unconfirmed.get(name) ?? NO_RESOURCES;
  }

  /**
   * Whether the team may use this much more. Everything that may be on machines counts, confirmed or not. A team that
   * is suspended or no longer in the settings may start nothing.
   */
  mayStart(request: StartRequest): boolean {
    const account = this.accounts.get(request.spec.team);
    if (!account || account.suspended) return false;
    return !exceeds(usageAfter(account, request), account.limit);
  }

  /** Number of the request's tasks, up to all, that the team may start beside others that will use `planned`. */
  startableTasks(request: StartRequest, planned: Resources): number {
    const account = this.accounts.get(request.spec.team);
    if (!account || account.suspended) return 0;
    const used = addResources(usageAfter(account, { ...request, tasks: 0 }), planned);
    if (exceeds(used, account.limit)) return 0;
    const { cpus, gpus } = addResources(account.limit, scaleResources(used, -1));
    const { spec, tasks } = request;
    return Math.min(tasks, wholeTasks(cpus, spec.cpus), wholeTasks(gpus, spec.gpus));
  }

  /** Whether the start would fit under the limit without the usage `leaving`, which is expected to end. */
  fitsWithout(request: StartRequest, leaving: Resources): boolean {
    const account = this.accounts.get(request.spec.team);
    if (!account) return false;
    const remaining = addResources(usageAfter(account, request), scaleResources(leaving, -1));
    return !exceeds(remaining, account.limit);
  }

  team(name: string): Team | undefined {
    return this.accounts.get(name)?.team;
  }

  /** Whether the team uses more CPUs than its guarantee. Other teams may then reclaim the excess. */
  exceedsGuarantee(name: string): boolean {
    const account = this.accounts.get(name);
    return account !== undefined && account.used.cpus > account.team.cpus;
  }

  quotaStatus(name: string): QuotaStatus | undefined {
    const account = this.accounts.get(name);
    if (!account) return undefined;
    const { team, used, unconfirmed, limit, peakShare } = account;
    return { team: team.name, used, unconfirmed, limit, peakShare };
  }

  quotaStatuses(): QuotaStatus[] {
    return [...this.accounts.keys()].flatMap((name) => this.quotaStatus(name) ?? []);
  }

  /** Resets the peaks to the present usage. */
  resetPeaks(): void {
    for (const account of this.accounts.values())
      account.peakShare = shareOf(account.used, account.limit);
  }

  isOverLimit(name: string, amount: Resources): boolean {
    const account = this.accounts.get(name);
    return account !== undefined && exceeds(amount, account.limit);
  }

  isSuspended(name: string): boolean {
    return this.accounts.get(name)?.suspended === true;
  }

  /** A suspended team starts nothing. */
  setSuspended(name: string, suspended: boolean): void {
    const account = this.accounts.get(name);
    if (account) account.suspended = suspended;
  }

  /** Replaces a wrong sum with the one recounted from the machine table. */
  correctUsed(name: string, used: Resources): void {
    const account = this.accounts.get(name);
    if (account) account.used = used;
  }
}
