/** How old the leader's knowledge of a machine may be. */

/** Reports come in intervals that are up to a quarter longer than the regular one. */
const MAX_INTERVAL_FACTOR = 1.25;
/** Time by which a report may be late without its machine counting as unheard. */
const REPORT_DELAY_MS = 1000;
/** Age up to which the news of a machine is current if it may be cut off, in milliseconds. */
const MAX_SUSPECT_AGE_MS = 2500;

/** What is known of the age of a machine's state: the time of which it is known, or an earlier one. */
export interface DatedState {
  newsFrom: number;
}

/**
 * Tells of which machines the leader knows the present state. A worker reports changes within half a second, and it
 * sends a report only after the one before was answered or given up. So a report that comes within the usual interval
 * was under way for no longer than that. After a longer silence only the response to a request counts, since a report
 * may have been held up meanwhile: the response was composed after the request was sent.
 */
export class MachineNews {
  private readonly maxAgeMs: number;

  /** `heartbeatIntervalS`: average interval of a worker's reports. */
  constructor(heartbeatIntervalS: number) {
    const intervalMs = heartbeatIntervalS * 1000 * MAX_INTERVAL_FACTOR;
    this.maxAgeMs = Math.max(MAX_SUSPECT_AGE_MS, intervalMs + REPORT_DELAY_MS);
  }

  /** Records a report that the worker sent by itself. */
  reportArrived(machine: DatedState, now: number): void {
    if (this.isCurrent(machine, false, now)) machine.newsFrom = now;
  }

  /** Records the response to a request that was sent at `requestedAt`. */
  responseArrived(machine: DatedState, requestedAt: number): void {
    machine.newsFrom = Math.max(machine.newsFrom, requestedAt);
  }

  /** `isSuspect`: whether the machine's zone seems to be cut off from the leader. */
  isCurrent(machine: DatedState, isSuspect: boolean, now: number): boolean {
    return now - machine.newsFrom <= (isSuspect ? MAX_SUSPECT_AGE_MS : this.maxAgeMs);
  }
}
