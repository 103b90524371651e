/** The HTTP server for users, workers and health checks. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { Socket } from 'node:net';
import { AcceptQueue } from './accept-queue.js';
import type { ApiResponse } from '../jobs/responses.js';
import type { ControllerNode } from '../node.js';
import type { Log } from '../runtime.js';
import { allocateSockets } from './socket-allocation.js';
import { INTERNAL_FAILURE, MAX_BODY_BYTES, createUserApp } from './user-app.js';
import { type Body, decodeMap, encode } from '../wire/cbor.js';
import { workerPaths } from '../wire/workers.js';

/** Workers and users send a request every few seconds: a connection that is idle for this time is most likely dead. */
const IDLE_TIMEOUT_MS = 25_000;

/** Creates the server for users, workers and health checks. Accepts at most the inbound share of `socketLimit`. */
export function createHttpServer(node: ControllerNode, socketLimit: number, log: Log): Server {
  const allocation = allocateSockets(socketLimit);
  const userApp = createUserApp(node);
  const server = createServer((request, response) => {
    if (isHeartbeat(request)) heartbeats.handle(request, response);
    else userApp(request, response);
  });
  const queue = new AcceptQueue(server, allocation.maxInbound, log, (ms, callback) => {
    setTimeout(callback, ms);
  });
  const heartbeats = new HeartbeatHandler(
    server,
    queue,
    allocation.maxKeptWorkerConnections,
    (body) => node.handleHeartbeat(body),
  );
  server.keepAliveTimeout = IDLE_TIMEOUT_MS;
  server.headersTimeout = IDLE_TIMEOUT_MS;
  server.requestTimeout = IDLE_TIMEOUT_MS;
  return server;
}

function isHeartbeat(request: IncomingMessage): boolean {
  return request.method === 'POST' && request.url === workerPaths.heartbeat;
}

/**
 * Handles heartbeat requests without express. The leader receives hundreds of heartbeats per second, which are most of
 * its work, and with express each costs three times as much.
 */
class HeartbeatHandler {
  private openConnections = 0;
  /** Connections on which at least one heartbeat was read. */
  private readonly knownSockets = new WeakSet<Socket>();

  constructor(
    server: Server,
    private readonly queue: AcceptQueue,
    private readonly maxKeptConnections: number,
    private readonly handleHeartbeat: (body: Body | null) => ApiResponse,
  ) {
    server.on('connection', (socket) => {
      this.openConnections++;
      socket.on('close', () => this.openConnections--);
    });
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    readBody(request, (body) => {
      const { socket } = request;
      if (this.knownSockets.has(socket)) {
        this.respond(body, response);
        return;
      }
      this.knownSockets.add(socket);
      this.queue.ifStillConnected(socket, () => {
        this.respond(body, response);
      });
    });
  }

  private respond(body: Buffer, response: ServerResponse): void {
    const { status, body: responseBody, retryAfterS } = this.responseFor(body);
    const bytes = encode(responseBody);
    response.writeHead(status, [
      ...['content-type', 'application/cbor', 'content-length', String(bytes.length)],
      ...(this.mustClose(status) ? ['connection', 'close'] : []),
      ...(retryAfterS === undefined ? [] : ['retry-after', String(retryAfterS)]),
    ]);
    response.end(bytes);
  }

  /** Catches all errors, so that a failure affects only the heartbeat that caused it. */
  private responseFor(body: Buffer): ApiResponse {
    try {
      return this.handleHeartbeat(decodeMap(body));
    } catch {
      return INTERNAL_FAILURE;
    }
  }

  /**
   * Whether to close the connection after the response. There can be as many workers as sockets, or more: when
   * sockets run short, a worker must reconnect for its next heartbeat. A worker that is sent to another controller is
   * not expected back.
   */
  private mustClose(status: number): boolean {
    return status !== 200 || this.openConnections > this.maxKeptConnections;
  }
}

/** Passes the request's body to `onBody`. A body over the limit is truncated, and then can't be decoded. */
function readBody(request: IncomingMessage, onBody: (body: Buffer) => void): void {
  const chunks: Buffer[] = [];
  let length = 0;
  request.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length <= MAX_BODY_BYTES) chunks.push(chunk);
  });
  request.on('end', () => {
    onBody(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
  });
}
