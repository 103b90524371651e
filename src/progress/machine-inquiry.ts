/** Asks machines that the leader does not hear for their reports. */
import { type Runtime, sleep } from '../runtime.js';
import { HTTP_STATUS } from '../wire/http-status.js';
import { readHeartbeat, workerPaths } from '../wire/workers.js';
import type { ObservedTasks } from './observed-tasks.js';

const INTERVAL_MS = 1000;
const TIMEOUT_MS = 900;
/** Maximum number of machines asked in one interval; more are asked in turn. */
const MAX_REQUESTS = 40;

/**
 * A follower in a zone that the leader can't reach may well reach the machines there. A request for a report changes
 * nothing on a machine, and the response tells what ran there after the request was sent.
 */
export class MachineInquiry {
  private asked = new Set<string>();

  constructor(
    private readonly runtime: Runtime,
    private readonly observed: Pick<ObservedTasks, 'recordResponse'>,
    /** Endpoints of the machines to ask. */
    private readonly endpoints: () => ReadonlySet<string>,
  ) {}

  /** Asks until the process ends. */
  async run(): Promise<void> {
    for (;;) {
      for (const endpoint of this.nextEndpoints()) void this.ask(endpoint);
      await sleep(this.runtime.clock, INTERVAL_MS);
    }
  }

  private nextEndpoints(): string[] {
    const all = [...this.endpoints()];
    const next = all.filter((endpoint) => !this.asked.has(endpoint)).slice(0, MAX_REQUESTS);
    // All have been asked once: the next turn begins.
    this.asked = next.length < MAX_REQUESTS ? new Set() : new Set([...this.asked, ...next]);
    return next;
  }

  private async ask(endpoint: string): Promise<void> {
    const { clock, http } = this.runtime;
    const requestedAt = clock.now();
    try {
      const response = await http.send(endpoint, 'GET', workerPaths.show, null, TIMEOUT_MS);
      if (response.status !== HTTP_STATUS.ok) return;
      const heartbeat = readHeartbeat(response.body);
      if (heartbeat) this.observed.recordResponse(heartbeat, requestedAt);
    } catch (error) {
      // The endpoint comes from a worker's report, and is not a valid address.
      this.runtime.log.debug({ endpoint, err: String(error) }, 'machine could not be asked');
    }
  }
}
