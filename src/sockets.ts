/**
 * How a process shares out the sockets that it may hold. Each worker keeps a connection to the leader, and
 * there can be as many workers as sockets: so none of them may count on keeping it, while users, health checks,
 * the state service and the other controllers never go without.
 */
export interface SocketShares {
  /** Connections accepted at most. */
  inbound: number;
  /** Connections that wait to be accepted while we are behind: they hold sockets, too. */
  backlog: number;
  /** With more than this many accepted, a worker's connection is closed once its report is answered. */
  workersKept: number;
  /** Connections to workers, those that are being made included. */
  toWorkers: number;
  /** Requests to workers under way at once. */
  requests: number;
}

/** For the state service, the cloud, the other controllers and listeners. */
const SERVICES = 80;
const TO_WORKERS = 0.17;
const MOST_BACKLOG = 128;
const WORKERS_KEPT = 0.7;
/** Beyond this, the processor is the limit and not the sockets. */
const MOST_REQUESTS = 200;

export function shareSockets(limit: number): SocketShares {
  const toWorkers = Math.max(8, Math.floor(limit * TO_WORKERS));
  const backlog = Math.min(MOST_BACKLOG, Math.floor(limit / 8));
  const inbound = Math.max(
    24,
    limit - toWorkers - backlog - Math.min(SERVICES, Math.floor(limit / 4)),
  );
  return {
    inbound,
    backlog,
    workersKept: Math.floor(inbound * WORKERS_KEPT),
    toWorkers,
    // A request that is given up leaves its connection behind for a moment.
    requests: Math.min(MOST_REQUESTS, Math.floor(toWorkers * 0.65)),
  };
}
