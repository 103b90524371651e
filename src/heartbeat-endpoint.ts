/** How a controller node answers workers' heartbeats, whatever its role. */
import type { Cancellations } from './jobs/cancellations.js';
import type { ApiResponse } from './jobs/responses.js';
import type { LeaderTerm } from './leadership/leader-term.js';
import type { Leadership } from './leadership/leadership.js';
import type { LeaseExtender } from './leadership/lease-extension.js';
import type { Attestations } from './peers/attestations.js';
import type { Clock, Log } from './runtime.js';
import type { Body } from './wire/cbor.js';
import type { Heartbeat, WorkerCommand } from './wire/model.js';
import { heartbeatResponse, readHeartbeat, redirectBody } from './wire/workers.js';

const UNAVAILABLE: ApiResponse = { status: 503, body: {}, retryAfterS: 1 };
const MALFORMED: ApiResponse = { status: 400, body: { error: 'not a report' } };

/** What the answers depend on. */
export interface HeartbeatEndpointDependencies {
  clock: Clock;
  log: Log;
  /** Name of this node. */
  self: string;
  leadership: Leadership;
  cancellations: Cancellations;
  attestations: Attestations;
  leaseExtender: LeaseExtender;
  /** May this process serve at all? */
  mayServe(): boolean;
  /** The term in which this node leads, though the leadership may be suspended. */
  term(): LeaderTerm | null;
}

/**
 * Only a node that may renew the worker's lease answers 200. All others send the worker elsewhere, since any other
 * answer would keep it waiting while its lease runs out.
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
    // Whoever answers renews the lease, in whatever role: see cancellations.ts.
    const mayRenew = this.deps.cancellations.isFreshEnoughToRenew();
    const term = this.deps.term();
    if (term && this.deps.leadership.isLeader())
      return mayRenew ? this.answerAsLeader(term, heartbeat) : UNAVAILABLE;
    if (mayRenew && this.mayExtendLease(term, heartbeat))
      return this.renewal(heartbeat, heartbeat.token, []);
    return this.redirect();
  }

  private answerAsLeader(term: LeaderTerm, heartbeat: Heartbeat): ApiResponse {
    const reply = term.handleHeartbeat(heartbeat);
    return reply ? this.renewal(heartbeat, reply.token, reply.commands) : UNAVAILABLE;
  }

  /** May this node, which does not lead at this moment, extend the worker's lease? See lease-extension.ts. */
  private mayExtendLease(term: LeaderTerm | null, heartbeat: Heartbeat): boolean {
    const { clock, leadership, attestations, leaseExtender } = this.deps;
    const current = leadership.currentTerm();
    if (!term || !current) return leaseExtender.mayRenew(heartbeat.token, clock.now());
    const uncontestedUntil = attestations.uncontestedUntil(
      current.epoch,
      leadership.leaseValidUntil(),
    );
    return term.mayExtendWhileSuspended(heartbeat, uncontestedUntil);
  }

  private renewal(heartbeat: Heartbeat, token: number, commands: WorkerCommand[]): ApiResponse {
    const withStops = this.deps.cancellations.withStops(heartbeat, commands);
    return { status: 200, body: heartbeatResponse(token, withStops) };
  }

  private redirect(): ApiResponse {
    const leader = this.deps.leadership.leaderName();
    if (leader === null || leader === this.deps.self) return UNAVAILABLE;
    return { status: 421, body: redirectBody(leader) };
  }
}
