/**
 * What each team uses, against its guarantee and its limit. The decision whether a team may take more is made here
 * alone, for arrays, services, gangs and whatever starts again after a move or a preemption.
 */
import type { Team } from '../settings/platform.js';
import type { JobSpec } from '../wire/model.js';
import { NO_RESOURCES, type Resources, plus, times } from './resources.js';

/** Sums of decimal amounts may be off by this much. */
const TOLERANCE = 1e-6;

/** A team's use at one moment. */
export interface QuotaStatus {
  team: string;
  /** All attempts that may be on machines. */
  used: Resources;
  /** The most that tasks may use that no report has shown yet. */
  unconfirmed: Resources;
  limit: Resources;
  /** The highest share of the limit that was in use since the last `resetPeaks`. */
  peakShare: number;
}

/** What a start asks for. */
export interface StartRequest {
  spec: JobSpec;
  /** How many tasks start together. */
  tasks: number;
  /** Room under the limit that is left to others. */
  headroomCpus: number;
}

interface Account {
  readonly team: Team;
  readonly limit: Resources;
  used: Resources;
  unconfirmed: Resources;
  peakShare: number;
  /** An audit found that the sums did not hold: nothing starts until one finds that they do. */
  suspended: boolean;
}

function exceeds(amount: Resources, limit: Resources): boolean {
  return amount.cpus > limit.cpus + TOLERANCE || amount.gpus > limit.gpus + TOLERANCE;
}

/** Do the two sums differ by more than rounding? */
export function differ(a: Resources, b: Resources): boolean {
  return exceeds(a, b) || exceeds(b, a);
}

function shareOf(used: Resources, limit: Resources): number {
  const cpus = limit.cpus < Infinity ? used.cpus / limit.cpus : 0;
  const gpus = limit.gpus < Infinity ? used.gpus / limit.gpus : 0;
  return Math.max(cpus, gpus);
}

/** What each team may have on machines, everything counted that may still be there. */
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

  /** An attempt may be on a machine from now on. */
  charge(spec: JobSpec): void {
    const account = this.accounts.get(spec.team);
    if (!account) return;
    account.used = plus(account.used, spec);
    account.peakShare = Math.max(account.peakShare, shareOf(account.used, account.limit));
  }

  /** An attempt is surely on no machine any more. */
  refund(spec: JobSpec): void {
    const account = this.accounts.get(spec.team);
    if (account) account.used = plus(account.used, times(spec, -1));
  }

  /** By team, the most that tasks may use that no report has shown yet; teams that are missing have none. */
  setUnconfirmed(unseen: ReadonlyMap<string, Resources>): void {
    for (const [name, account] of this.accounts)
      account.unconfirmed = unseen.get(name) ?? NO_RESOURCES;
  }

  /**
   * May the team take this much more? Everything that may be on machines counts, seen or not. A team that is no longer
   * in the settings may take nothing.
   */
  mayStart({ spec, tasks, headroomCpus }: StartRequest): boolean {
    const account = this.accounts.get(spec.team);
    if (!account || account.suspended) return false;
    return !exceeds(this.with(account, spec, tasks, headroomCpus), account.limit);
  }

  /** Would it fit under the limit if `leaving` had gone? */
  fitsWithout({ spec, tasks, headroomCpus }: StartRequest, leaving: Resources): boolean {
    const account = this.accounts.get(spec.team);
    if (!account) return false;
    const left = plus(this.with(account, spec, tasks, headroomCpus), times(leaving, -1));
    return !exceeds(left, account.limit);
  }

  private with(account: Account, spec: JobSpec, tasks: number, headroomCpus: number): Resources {
    const known = plus(account.used, account.unconfirmed);
    return plus(plus(known, times(spec, tasks)), { cpus: headroomCpus, gpus: 0 });
  }

  team(name: string): Team | undefined {
    return this.accounts.get(name)?.team;
  }

  /** Beyond its guarantee: what it borrows can be taken back. */
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

  /** The highest shares are counted anew, from what is in use now. */
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

  suspend(name: string, suspended: boolean): void {
    const account = this.accounts.get(name);
    if (account) account.suspended = suspended;
  }

  /** The sum was wrong: what the table of attempts says stands instead. */
  correct(name: string, used: Resources): void {
    const account = this.accounts.get(name);
    if (account) account.used = used;
  }
}
