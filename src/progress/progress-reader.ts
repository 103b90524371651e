/** Reads the stored reports, and determines how old they may be. */
import type { StateStore } from '../state-store/client.js';
import type { Clock } from '../runtime.js';
import type { ProgressReport } from './progress-report.js';
import { PROGRESS_PREFIX, type ProgressStamp, readStoredProgress } from './stored-progress.js';

/** Number of reads that are remembered; a stamp proves its age by one of the last few. */
const MAX_SIGHTINGS = 20;

/** The stamps that a read sent at `sentAt` found, by source. */
interface Sighting {
  sentAt: number;
  stamps: Map<string, ProgressStamp>;
}

/** A report, and a time of this controller's clock after which it was composed. */
export interface DatedReport {
  source: string;
  report: ProgressReport;
  composedAfter: number;
}

/**
 * A controller composes each stamp after it has learned that the one before is stored. So a stamp was composed after a read
 * was sent that found the last but one before it, or an earlier one: the one in between was stored after that read.
 * Neither the clocks of two controllers nor the time at which a write is applied matter.
 */
export class ProgressReader {
  private sightings: Sighting[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly store: Pick<StateStore, 'scan'>,
  ) {}

  /** Returns the stored reports whose age is known; none if they can't be read. */
  async read(): Promise<DatedReport[]> {
    const sentAt = this.clock.now();
    const snapshot = await this.store.scan(PROGRESS_PREFIX);
    if (!snapshot) return [];
    const stored = readStoredProgress(snapshot.pairs);
    const dated = stored.flatMap(({ source, stamp, report }) => {
      const composedAfter = this.composedAfter(source, stamp);
      return composedAfter === null ? [] : [{ source, report, composedAfter }];
    });
    this.sightings.push({ sentAt, stamps: new Map(stored.map((one) => [one.source, one.stamp])) });
    if (this.sightings.length > MAX_SIGHTINGS) this.sightings.shift();
    return dated;
  }

  /** Forgets all reads: they may be too old to prove anything useful. */
  reset(): void {
    this.sightings = [];
  }

  private composedAfter(source: string, stamp: ProgressStamp): number | null {
    let latest: number | null = null;
    for (const { sentAt, stamps } of this.sightings)
      if (isComposedAfter(stamp, stamps.get(source))) latest = sentAt;
    return latest;
  }
}

/** Whether the stamp was composed after a read was sent that found `seen`. */
function isComposedAfter({ epoch, sequence }: ProgressStamp, seen?: ProgressStamp): boolean {
  // The first stamp of the epoch was not stored yet when the read was carried out.
  if (seen?.epoch !== epoch) return sequence >= 2;
  return sequence >= seen.sequence + 2;
}
