/** Keeps the view of the duties' records up to date with the state service. */
import { type Environment, type StateAccess, sleep } from '@millring/state-access';
import { DUTIES_PREFIX } from './records.js';
import type { DutiesView } from './view.js';

/** Dependencies of `RecordWatch`: components of the process. */
export interface RecordWatchDependencies {
  environment: Environment;
  store: StateAccess;
  view: DutiesView;
  /** The loop ends once this returns false. */
  isActive(): boolean;
  /** Called after changes were applied to the view, so that the process reacts to them immediately. */
  onChange(): void;
}

/**
 * Maximum time that a watch waits for changes. If its response is lost, an operator's hold may go unnoticed for this
 * time plus the client's timeout.
 */
const WATCH_TIMEOUT_MS = 3000;
const RETRY_MS = 300;

/** Reads all records, then watches for changes. */
export class RecordWatch {
  private isRunning = false;

  constructor(private readonly deps: RecordWatchDependencies) {}

  /** Starts the loop unless it is running already. */
  ensureRunning(): void {
    if (!this.isRunning) void this.run();
  }

  private async run(): Promise<void> {
    const { store, view } = this.deps;
    this.isRunning = true;
    while (this.deps.isActive()) {
      if (view.knownRevision() < 0) await this.reload();
      if (view.knownRevision() < 0) {
        await this.waitBeforeRetry();
        continue;
      }
      const result = await store.watch(DUTIES_PREFIX, view.knownRevision(), WATCH_TIMEOUT_MS);
      if (result.kind === 'events') {
        view.apply(result.events, result.revision);
        this.deps.onChange();
      } else if (result.kind === 'compacted') await this.reload();
      else await this.waitBeforeRetry();
    }
    this.isRunning = false;
  }

  private waitBeforeRetry(): Promise<void> {
    const { environment } = this.deps;
    return sleep(environment, RETRY_MS * (1 + environment.random()));
  }

  private async reload(): Promise<void> {
    const read = await this.deps.store.scan(DUTIES_PREFIX);
    if (read) this.deps.view.load(read.pairs, read.revision);
  }
}
