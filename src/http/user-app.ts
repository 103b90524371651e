/** The HTTP routes for users and health checks. */
import express, { type NextFunction, type Request, type Response } from 'express';
import type { Health } from '../health.js';
import type { ApiResponse } from '../jobs/responses.js';
import type { JobsApi } from '../jobs/api.js';
import { type Body, decodeMap, encode } from '../wire/cbor.js';
import { userPaths } from '../wire/users.js';

/** Maximum size of a request body; larger ones are rejected. */
export const MAX_BODY_BYTES = 64 * 1024;
/** Response to a request that fails within this process: the client may retry on this or another controller. */
export const INTERNAL_FAILURE: ApiResponse = { status: 503, body: {}, retryAfterS: 1 };
const NOT_CBOR: ApiResponse = { status: 400, body: { error: 'not a CBOR map' } };
const MALFORMED: ApiResponse = { status: 400, body: { error: 'malformed request' } };
const NOT_FOUND: ApiResponse = { status: 404, body: { error: 'no such path' } };

/** The components of the node that serve the requests. */
export interface UserBackend {
  api: Pick<JobsApi, 'submit' | 'poll' | 'cancel'>;
  health(): Health;
}

type Responder = (request: Request) => Promise<ApiResponse> | ApiResponse;

/** Creates the express application. An error in a request affects only that request. */
export function createUserApp(backend: UserBackend): express.Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  app.use(express.raw({ type: () => true, limit: MAX_BODY_BYTES }));
  app.get(userPaths.health, (_request, response) => {
    sendHealth(response, backend.health());
  });
  addJobRoutes(app, backend);
  app.use((_request: Request, response: Response) => {
    send(response, NOT_FOUND);
  });
  app.use(handleError);
  return app;
}

function addJobRoutes(app: express.Express, backend: UserBackend): void {
  app.post(
    userPaths.jobs,
    respondWith((request) => {
      const body = bodyOf(request);
      return body ? backend.api.submit(body) : NOT_CBOR;
    }),
  );
  app.get(
    `${userPaths.jobs}/:id`,
    respondWith((request) => backend.api.poll(String(request.params.id))),
  );
  app.post(
    userPaths.cancel(':id'),
    respondWith((request) => backend.api.cancel(String(request.params.id))),
  );
}

function respondWith(responder: Responder) {
  return (request: Request, response: Response, next: NextFunction): void => {
    Promise.resolve(responder(request)).then((apiResponse) => {
      send(response, apiResponse);
    }, next);
  };
}

function bodyOf(request: Request): Body | null {
  return Buffer.isBuffer(request.body) ? decodeMap(request.body) : null;
}

function send(response: Response, { status, body, retryAfterS }: ApiResponse): void {
  if (retryAfterS !== undefined) response.set('Retry-After', String(retryAfterS));
  response.status(status).type('application/cbor').send(encode(body));
}

function sendHealth(response: Response, health: Health): void {
  const isHealthy = health.kind === 'healthy';
  response.status(isHealthy ? 200 : 503).type('text/plain');
  response.end(isHealthy ? undefined : health.reason);
}

/** Requests that are too large, truncated or badly encoded are client errors; all other errors are internal. */
function handleError(
  error: { status?: number },
  _request: Request,
  response: Response,
  // Express recognizes error handlers by their four parameters.
  _next: NextFunction,
): void {
  const isClientError = error.status !== undefined && error.status >= 400 && error.status < 500;
  send(response, isClientError ? MALFORMED : INTERNAL_FAILURE);
}
