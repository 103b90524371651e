/**
 * The HTTP client of a controller: requests to workers, the state service and the cloud, within the sockets
 * that it may hold.
 */
import { Agent, type ClientRequest, request } from 'node:http';
import type { Socket } from 'node:net';
import type { Http, Reply } from './runtime.js';
import { decodeMap, encode } from './wire/cbor.js';

const NOTHING: Reply = { status: 0, body: {} };
/** How long a connection to a worker stays open without use. */
const WORKER_IDLE_MS = 2500;
const SERVICE_CONNECTIONS = 24;

/**
 * Outgoing HTTP: persistent connections, one request at a time on each (no pipelining). Those to the few
 * addresses named as `lasting` stay open. Workers are many, and each holds a connection of its own to us: what
 * we open to them goes soon after use, or at once when half of the sockets meant for that are taken.
 */
export function outgoing(lasting: string[], toWorkersAtMost: number): Http {
  const common = { keepAlive: true, scheduling: 'lifo' as const };
  const toServices = new Agent({ ...common, maxSockets: SERVICE_CONNECTIONS });
  const toWorkers = new Agent({ ...common, maxSockets: 1, timeout: WORKER_IDLE_MS });
  const open = new Set<Socket>();
  const count = (socket: Socket): void => {
    if (open.has(socket)) return;
    open.add(socket);
    socket.once('close', () => open.delete(socket));
  };
  return {
    send(to, method, path, body, timeoutMs): Promise<Reply> {
      return new Promise((done) => {
        const bytes = body === null ? null : encode(body);
        const lasts = lasting.includes(to);
        const colon = to.lastIndexOf(':');
        const settle = (r: Reply): void => {
          clearTimeout(timer);
          done(r);
        };
        const sent: ClientRequest = request(
          {
            host: to.slice(0, colon),
            port: Number(to.slice(colon + 1)),
            method,
            path,
            agent: lasts ? toServices : toWorkers,
            headers: {
              ...(bytes && { 'content-type': 'application/cbor', 'content-length': bytes.length }),
              ...(!lasts && open.size > toWorkersAtMost / 2 && { connection: 'close' }),
            },
          },
          (res) => {
            const parts: Buffer[] = [];
            res.on('data', (part: Buffer) => parts.push(part));
            res.on('error', () => {
              settle(NOTHING);
            });
            res.on('end', () => {
              const status = res.statusCode ?? 0;
              const whole = parts.length === 1 ? parts[0] : Buffer.concat(parts);
              const decoded = whole.length === 0 ? {} : decodeMap(whole);
              // A 200 that can't be read tells nothing: the request may have been executed.
              settle({
                status: decoded === null && status === 200 ? 0 : status,
                body: decoded ?? {},
              });
            });
          },
        );
        if (!lasts) sent.on('socket', count);
        sent.on('error', () => {
          settle(NOTHING);
        });
        sent.end(bytes ?? undefined);
        // Given up also while the connection is still being made, which takes seconds to a host that says nothing;
        // with the request goes its socket.
        const timer = setTimeout(() => {
          sent.destroy();
          done(NOTHING);
        }, timeoutMs);
      });
    },
  };
}
