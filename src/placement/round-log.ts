/** Logs the scheduler's counts and the usage of the teams once per placement round. */
import type { Log } from '../runtime.js';
import type { SchedulingStats } from './scheduling-stats.js';
import type { TeamUsage } from './team-usage.js';
import type { UsableMachines } from './usable-machines.js';

/** Bounds the size of one log line. */
const MAX_TEAMS_IN_LOG = 20;

/** Writes the log lines of a placement round. */
export class RoundLog {
  constructor(
    private readonly log: Log,
    private readonly stats: SchedulingStats,
    private readonly machines: UsableMachines,
    private readonly usage: TeamUsage,
  ) {}

  /** Logs the counts since the last call, the unusable machines and the team usage. */
  write(): void {
    const unusable = this.machines.countUnusable();
    this.log.info({ ...this.stats.takeCounts(), unusable }, 'round');
    this.writeTeamUsage();
  }

  /** Logs the teams that use or may use anything, those nearest to their limits first. */
  private writeTeamUsage(): void {
    const active = this.usage
      .quotaStatuses()
      .filter(({ used, unconfirmed, peakShare }) => used.cpus + unconfirmed.cpus + peakShare > 0)
      .sort((a, b) => b.peakShare - a.peakShare);
    this.usage.resetPeaks();
    if (active.length === 0) return;
    this.log.info({ teams: active.slice(0, MAX_TEAMS_IN_LOG) }, 'team usage');
  }
}
