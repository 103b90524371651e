/** The HTTP server for users, workers and health checks. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { Socket } from 'node:net';
import express, { type NextFunction, type Request, type Response } from 'express';
import type { ControllerNode } from './node.js';
import type { Answer } from './jobs/answers.js';
import { type Body, decodeMap, encode } from './wire/cbor.js';
import { userPaths } from './wire/users.js';
import { workerPaths } from './wire/workers.js';
import { AcceptQueue } from './accept-queue.js';
import type { Log } from './runtime.js';
import { shareSockets } from './sockets.js';

const MAX_BODY = 64 * 1024;
/** Whoever says nothing for so long has most likely gone without a word: workers and users speak every few seconds. */
const IDLE_MS = 25_000;

function reply(res: Response, a: Answer): void {
  if (a.retryAfterS !== undefined) res.set('Retry-After', String(a.retryAfterS));
  res.status(a.status).type('application/cbor').send(encode(a.body));
}

function bodyOf(req: Request): Body | null {
  return Buffer.isBuffer(req.body) ? decodeMap(req.body) : null;
}

/**
 * Reports come by the hundred a second and are most of what the leader does, so they pass express by: there each
 * costs three times as much. A body over the limit is cut off, and then can't be read.
 */
function readBody(req: IncomingMessage, done: (body: Buffer) => void): void {
  const parts: Buffer[] = [];
  let length = 0;
  req.on('data', (part: Buffer) => {
    length += part.length;
    if (length <= MAX_BODY) parts.push(part);
  });
  req.on('end', () => {
    done(parts.length === 1 ? parts[0] : Buffer.concat(parts));
  });
}

/** Whatever goes wrong with a report, it harms that report alone. */
function safely(f: () => Answer): Answer {
  try {
    return f();
  } catch {
    return NOT_NOW;
  }
}

const NOT_NOW: Answer = { status: 503, body: {}, retryAfterS: 1 };
const MALFORMED: Answer = { status: 400, body: { error: 'not a CBOR map' } };

/** Users' requests and health checks. */
function userApp(node: ControllerNode): express.Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  app.use(express.raw({ type: () => true, limit: MAX_BODY }));
  const answer =
    (f: (req: Request) => Promise<Answer> | Answer) =>
    (req: Request, res: Response, next: NextFunction): void => {
      Promise.resolve(f(req)).then((a) => {
        reply(res, a);
      }, next);
    };
  app.get(userPaths.health, (_req, res) => {
    const reason = node.unhealthyReason();
    res.status(reason === null ? 200 : 503).type('text/plain');
    res.end(reason ?? undefined);
  });
  app.post(
    userPaths.jobs,
    answer((req) => {
      const body = bodyOf(req);
      return body ? node.api.submit(body) : MALFORMED;
    }),
  );
  app.get(
    `${userPaths.jobs}/:id`,
    answer((req) => node.api.poll(String(req.params.id))),
  );
  app.post(
    userPaths.cancel(':id'),
    answer((req) => node.api.cancel(String(req.params.id))),
  );
  app.use((_req: Request, res: Response) => {
    reply(res, { status: 404, body: { error: 'no such path' } });
  });
  // Whatever is wrong with a request (too large, cut short, badly encoded), it harms that request alone.
  app.use((err: { status?: number }, _req: Request, res: Response, _next: NextFunction) => {
    const client = err.status !== undefined && err.status >= 400 && err.status < 500;
    reply(res, client ? { status: 400, body: { error: 'malformed request' } } : NOT_NOW);
  });
  return app;
}

/** Users, workers and health checks. */
export function httpServer(node: ControllerNode, sockets: number, log: Log): Server {
  const app = userApp(node);
  const shares = shareSockets(sockets);
  let open = 0;
  // There can be more workers than sockets: when these run short, a worker connects anew for its next report. One
  // that is sent elsewhere is not expected back.
  const beat = (body: Buffer, res: ServerResponse): void => {
    const a = safely(() => node.handleHeartbeat(decodeMap(body)));
    const close = a.status !== 200 || open > shares.workersKept;
    const bytes = encode(a.body);
    res.writeHead(a.status, [
      ...['content-type', 'application/cbor', 'content-length', String(bytes.length)],
      ...(close ? ['connection', 'close'] : []),
      ...(a.retryAfterS === undefined ? [] : ['retry-after', String(a.retryAfterS)]),
    ]);
    res.end(bytes);
  };
  const answered = new WeakSet<Socket>();
  const server = createServer((req, res) => {
    if (req.method !== 'POST' || req.url !== workerPaths.heartbeat) {
      app(req, res);
      return;
    }
    readBody(req, (body) => {
      const { socket } = req;
      if (answered.has(socket)) {
        beat(body, res);
        return;
      }
      answered.add(socket);
      queue.whenStillThere(socket, () => {
        beat(body, res);
      });
    });
  });
  const queue = new AcceptQueue(server, shares.inbound, log, (ms, fn) => {
    setTimeout(fn, ms);
  });
  server.on('connection', (socket) => {
    open++;
    socket.on('close', () => open--);
  });
  server.keepAliveTimeout = IDLE_MS;
  server.headersTimeout = IDLE_MS;
  server.requestTimeout = IDLE_MS;
  return server;
}
