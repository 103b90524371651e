/**
 * Allocation of the sockets that a process may hold. Each worker keeps a connection to the leader, and there can be as
 * many workers as sockets, or more. So no worker can rely on keeping its connection, while sockets are always available
 * for users, health checks, the state service and the other controllers.
 */

/**
 * Limits on the sockets for each purpose. Together they stay within the limit of the process if that is 50 or more;
 * below, the minimum numbers of sockets add up to more than the limit.
 */
export interface SocketAllocation {
  /** Maximum number of accepted connections. */
  maxInbound: number;
  /** Maximum number of connections that wait to be accepted while the process lags; they hold sockets too. */
  backlog: number;
  /** With more accepted connections than this, a worker's connection is closed after the response to its heartbeat. */
  maxKeptWorkerConnections: number;
  /** Maximum number of connections to workers, including those being established. */
  maxConnectionsToWorkers: number;
  /** Maximum number of requests to workers in flight. */
  maxRequestsToWorkers: number;
}

/** Sockets for the state service, the cloud, the other controllers and listeners; at most the share that follows. */
const RESERVED_FOR_SERVICES = 80;
/** Share of all sockets, like the other shares unless stated otherwise. */
const MAX_SHARE_FOR_SERVICES = 1 / 4;
const SHARE_FOR_CONNECTIONS_TO_WORKERS = 0.17;
const MIN_CONNECTIONS_TO_WORKERS = 8;
const BACKLOG_SHARE = 1 / 8;
const MAX_BACKLOG = 128;
const MIN_INBOUND = 24;
/** Share of the maximum number of accepted connections. */
const SHARE_OF_KEPT_WORKER_CONNECTIONS = 0.7;
/** Less than 1, since the connection of an abandoned request remains for a moment. */
const REQUESTS_PER_CONNECTION_TO_WORKERS = 0.65;
/** Beyond this number the limit is the processor, not the sockets. */
const MAX_REQUESTS_TO_WORKERS = 200;

/** Divides `socketLimit`, the number of sockets that the process may hold. */
export function allocateSockets(socketLimit: number): SocketAllocation {
  const maxConnectionsToWorkers = Math.max(
    MIN_CONNECTIONS_TO_WORKERS,
    Math.floor(socketLimit * SHARE_FOR_CONNECTIONS_TO_WORKERS),
  );
  const backlog = Math.min(MAX_BACKLOG, Math.floor(socketLimit * BACKLOG_SHARE));
  const forServices = Math.min(
    RESERVED_FOR_SERVICES,
    Math.floor(socketLimit * MAX_SHARE_FOR_SERVICES),
  );
  const maxInbound = Math.max(
    MIN_INBOUND,
    socketLimit - maxConnectionsToWorkers - backlog - forServices,
  );
  return {
    maxInbound,
    backlog,
    maxKeptWorkerConnections: Math.floor(maxInbound * SHARE_OF_KEPT_WORKER_CONNECTIONS),
    maxConnectionsToWorkers,
    maxRequestsToWorkers: Math.min(
      MAX_REQUESTS_TO_WORKERS,
      Math.floor(maxConnectionsToWorkers * REQUESTS_PER_CONNECTION_TO_WORKERS),
    ),
  };
}
