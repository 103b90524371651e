/** A controller node's responses to workers' heartbeats, in any role. */
import type { Cancellations } from './jobs/cancellations.js';
import type { ApiResponse } from './jobs/responses.js';
import type { LeaderTerm } from './leadership/leader-term.js';
import type { Leadership } from './leadership/leadership.js';
import type { LeaseExtender } from './leadership/lease-extension.js';
import type { Attestations } from './peers/attestations.js';
import type { ObservedTasks } from './progress/observed-tasks.js';
import type { Clock, Log } from './runtime.js';
import type { Body } from './wire/cbor.js';
import type { Heartbeat, WorkerCommand } from './wire/model.js';
import { heartbeatResponseBody, readHeartbeat, redirectBody } from './wire/workers.js';

const UNAVAILABLE: ApiResponse = { status: 503, body: {}, retryAfterS: 1 };
const MALFORMED: ApiResponse = { status: 400, body: { error: 'not a report' } };

/** Bounds the size of one log line. */
const MAX_TASKS_IN_LOG = 5;

/** Dependencies of the heartbeat endpoint. */
export interface HeartbeatEndpointDependencies {
  clock: Clock;
  log: Log;
  /** Name of this node. */
  self: string;
  leadership: Leadership;
  cancellations: Cancellations;
  attestations: Attestations;
  leaseExtender: LeaseExtender;
  observed: Pick<ObservedTasks, 'recordReport'>;
  /** Whether this process can read the stored state. If not, any response might be wrong. */
  mayServe(): boolean;
  /** The term in which this node leads, or null; the leadership may be suspended. */
  term(): LeaderTerm | null;
}

/**
 * Only a node that may renew the worker's lease responds with status 200. All other nodes send the worker to another
 * node, since any other response would keep it waiting while its lease expires.
 */
export class HeartbeatEndpoint {
  constructor(private readonly deps: HeartbeatEndpointDependencies) {}

  handle(body: Body | null): ApiResponse {
    if (!this.deps.mayServe()) return UNAVAILABLE;
    const heartbeat = body && readHeartbeat(body);
    if (!heartbeat) {
      this.deps.log.debug({ body }, 'unreadable heartbeat');
      return MALFORMED;
    }
    // The node that responds renews the lease, in any role: see cancellations.ts.
    const mayRenew = this.deps.cancellations.isFreshEnoughToRenew();
    const term = this.deps.term();
    if (term && this.deps.leadership.isLeader())
      return mayRenew ? this.respondAsLeader(term, heartbeat) : UNAVAILABLE;
    if (mayRenew && this.mayExtendLease(term, heartbeat)) return this.extendLease(heartbeat);
    return this.redirect();
  }

  private respondAsLeader(term: LeaderTerm, heartbeat: Heartbeat): ApiResponse {
    const response = term.handleHeartbeat(heartbeat);
    if (!response) return UNAVAILABLE;
    const { token, commands } = response;
    return renewal(token, this.deps.cancellations.withStops(heartbeat, commands));
  }

  /** Renews the lease for the leader; the only commands are the stops of cancelled tasks. */
  private extendLease(heartbeat: Heartbeat): ApiResponse {
    this.deps.observed.recordReport(heartbeat);
    const stops = this.deps.cancellations.withStops(heartbeat, []);
    if (stops.length > 0) this.logStops(heartbeat, stops);
    return renewal(heartbeat.token, stops);
  }

  private logStops({ machine }: Heartbeat, stops: WorkerCommand[]): void {
    const some = stops
      .slice(0, MAX_TASKS_IN_LOG)
      .map(({ job, taskNumber }) => `${job}/${taskNumber}`);
    const fields = { machine, tasks: stops.length, some };
    this.deps.log.info(fields, 'stopping tasks of cancelled jobs for the leader');
  }

  /** Whether this node, which does not lead now, may extend the worker's lease. See lease-extension.ts. */
  private mayExtendLease(term: LeaderTerm | null, heartbeat: Heartbeat): boolean {
    const { clock, leadership, attestations, leaseExtender } = this.deps;
    const electedTerm = leadership.electedTerm();
    if (!term || !electedTerm) return leaseExtender.mayRenew(heartbeat.token, clock.now());
    const uncontestedUntil = attestations.uncontestedUntil(
      electedTerm.epoch,
      leadership.leaseValidUntil(),
    );
    return term.mayExtendWhileSuspended(heartbeat, uncontestedUntil);
  }

  private redirect(): ApiResponse {
    const leader = this.deps.leadership.leaderName();
    if (leader === null || leader === this.deps.self) return UNAVAILABLE;
    return { status: 421, body: redirectBody(leader) };
  }
}

function renewal(token: number, commands: WorkerCommand[]): ApiResponse {
  return { status: 200, body: heartbeatResponseBody(token, commands) };
}
