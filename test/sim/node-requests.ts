/** Passes requests to a simulated controller on to its API, as the HTTP server does for a real one. */
import type { ControllerNode } from '../../src/node.js';
import type { HttpResponse } from '../../src/runtime.js';
import type { Body } from '../../src/wire/cbor.js';
import { userOperation } from './wire/users.js';
import { HEARTBEAT_PATH } from './wire/workers.js';

/** Returns the controller's response; throws for a request that PROTOCOL doesn't define. */
export async function serveNode(
  node: ControllerNode,
  method: string,
  path: string,
  body: Body,
): Promise<HttpResponse> {
  if (path === HEARTBEAT_PATH) return node.handleHeartbeat(body);
  const operation = userOperation(method, path);
  switch (operation?.kind) {
    case 'submit':
      return node.api.submit(body);
    case 'poll':
      return node.api.poll(operation.id);
    case 'cancel':
      return node.api.cancel(operation.id);
    default:
      throw new Error(`unknown request to a controller: ${method} ${path}`);
  }
}
