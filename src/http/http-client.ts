/**
 * The HTTP client of a controller: sends requests to workers, the state service and the cloud within the limits on its
 * sockets.
 */
import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';
import type { Socket } from 'node:net';
import type { Http, HttpMethod, HttpResponse } from '../runtime.js';
import { type Body, decodeMap, encode } from '../wire/cbor.js';

const NO_RESPONSE: HttpResponse = { status: 0, body: {} };
const STATUS_OK = 200;
/** How long an idle connection to a worker is kept open. */
const WORKER_IDLE_TIMEOUT_MS = 2500;
const MAX_CONNECTIONS_PER_SERVICE = 24;
const AGENT_OPTIONS = { keepAlive: true, scheduling: 'lifo' as const };

/** The services that connections are kept open to, and the limit on connections to workers. */
export interface HttpClientOptions {
  /** Addresses, as `host:port`, of the few services to which connections are kept open. All others are workers. */
  services: readonly string[];
  maxConnectionsToWorkers: number;
}

/**
 * Uses persistent connections with one request at a time on each (no pipelining). There are many workers, and each also
 * holds a connection of its own to this controller. Connections to workers are therefore closed soon after use, or at
 * once while more than half of the connections allowed to workers are open.
 */
export class HttpClient implements Http {
  private readonly serviceAgent = new Agent({
    ...AGENT_OPTIONS,
    maxSockets: MAX_CONNECTIONS_PER_SERVICE,
  });
  private readonly workerAgent = new Agent({
    ...AGENT_OPTIONS,
    maxSockets: 1,
    timeout: WORKER_IDLE_TIMEOUT_MS,
  });
  private readonly workerSockets = new Set<Socket>();

  constructor(private readonly options: HttpClientOptions) {}

  /** Never rejects: status 0 means that there was no response. */
  send(
    to: string,
    method: HttpMethod,
    path: string,
    body: Body | null,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    return new Promise((resolve) => {
      const clientRequest = this.createRequest(to, method, path, body);
      // Also ends requests whose connection is still being established, which takes seconds if the host is unreachable.
      // Destroying the request also destroys its socket.
      const timer = setTimeout(() => {
        clientRequest.destroy();
        resolve(NO_RESPONSE);
      }, timeoutMs);
      const settle = (result: HttpResponse): void => {
        clearTimeout(timer);
        resolve(result);
      };
      clientRequest.once('response', (response) => {
        readResponse(response, settle);
      });
      clientRequest.on('error', () => {
        settle(NO_RESPONSE);
      });
    });
  }

  private createRequest(
    to: string,
    method: HttpMethod,
    path: string,
    body: Body | null,
  ): ClientRequest {
    const bytes = body === null ? null : encode(body);
    const isService = this.options.services.includes(to);
    const colon = to.lastIndexOf(':');
    const clientRequest = request({
      host: to.slice(0, colon),
      port: Number(to.slice(colon + 1)),
      method,
      path,
      agent: isService ? this.serviceAgent : this.workerAgent,
      headers: {
        ...(bytes && { 'content-type': 'application/cbor', 'content-length': bytes.length }),
        ...(!isService && this.isShortOfSockets() && { connection: 'close' }),
      },
    });
    if (!isService)
      clientRequest.on('socket', (socket) => {
        this.trackWorkerSocket(socket);
      });
    clientRequest.end(bytes ?? undefined);
    return clientRequest;
  }

  private isShortOfSockets(): boolean {
    return this.workerSockets.size > this.options.maxConnectionsToWorkers / 2;
  }

  private trackWorkerSocket(socket: Socket): void {
    if (this.workerSockets.has(socket)) return;
    this.workerSockets.add(socket);
    socket.once('close', () => this.workerSockets.delete(socket));
  }
}

function readResponse(response: IncomingMessage, settle: (result: HttpResponse) => void): void {
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  response.on('error', () => {
    settle(NO_RESPONSE);
  });
  response.on('end', () => {
    settle(decodeResponse(response.statusCode ?? 0, chunks));
  });
}

function decodeResponse(status: number, chunks: Buffer[]): HttpResponse {
  const bytes = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
  const body = bytes.length === 0 ? {} : decodeMap(bytes);
  if (body !== null) return { status, body };
  // A response with status 200 that can't be decoded counts as no response: the request may have been executed.
  return status === STATUS_OK ? NO_RESPONSE : { status, body: {} };
}
