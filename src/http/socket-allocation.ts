/**
 * How a process allocates the sockets that it may hold. Each worker keeps a connection to the leader, and there can be
 * as many workers as sockets: so none of them may count on keeping it, while users, health checks, the state service and
 * the other controllers never go without.
 */

/** Upper limits that together stay within the process's sockets. */
export interface SocketAllocation {
  /** Accepted connections. */
  maxInbound: number;
  /** Connections that wait to be accepted while the process lags: they hold sockets, too. */
  backlog: number;
  /** With more than this many accepted, a worker's connection is closed once its heartbeat is answered. */
  maxKeptWorkerConnections: number;
  /** Connections to workers, those that are being made included. */
  maxToWorkers: number;
  /** Requests to workers in flight. */
  maxRequestsToWorkers: number;
}

/** For the state service, the cloud, the other controllers and listeners, but at most a share of all. */
const RESERVED_FOR_SERVICES = 80;
const MAX_SHARE_FOR_SERVICES = 1 / 4;
const SHARE_TO_WORKERS = 0.17;
const MIN_TO_WORKERS = 8;
const BACKLOG_SHARE = 1 / 8;
const MAX_BACKLOG = 128;
const MIN_INBOUND = 24;
/** Of the accepted connections. */
const SHARE_OF_KEPT_WORKER_CONNECTIONS = 0.7;
/** A request that is given up leaves its connection behind for a moment. */
const REQUESTS_PER_CONNECTION_TO_WORKERS = 0.65;
/** Beyond this, the processor is the limit and not the sockets. */
const MAX_REQUESTS_TO_WORKERS = 200;

/** `limit`: all sockets that the process may hold. */
export function allocateSockets(limit: number): SocketAllocation {
  const maxToWorkers = Math.max(MIN_TO_WORKERS, Math.floor(limit * SHARE_TO_WORKERS));
  const backlog = Math.min(MAX_BACKLOG, Math.floor(limit * BACKLOG_SHARE));
  const forServices = Math.min(RESERVED_FOR_SERVICES, Math.floor(limit * MAX_SHARE_FOR_SERVICES));
  const maxInbound = Math.max(MIN_INBOUND, limit - maxToWorkers - backlog - forServices);
  return {
    maxInbound,
    backlog,
    maxKeptWorkerConnections: Math.floor(maxInbound * SHARE_OF_KEPT_WORKER_CONNECTIONS),
    maxToWorkers,
    maxRequestsToWorkers: Math.min(
      MAX_REQUESTS_TO_WORKERS,
      Math.floor(maxToWorkers * REQUESTS_PER_CONNECTION_TO_WORKERS),
    ),
  };
}
