/** HTTP servers of simulated services on loopback, and ports for them. */
import { type Server, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { decodeMap, encode } from '../../src/wire/cbor.js';
import type { Handler } from './network.js';

const HOST = '127.0.0.1';
/**
 * Below the ephemeral ports, which the system assigns to outgoing connections: a connection could take the port of a
 * controller while the controller is being replaced.
 */
const FIRST_PORT = 20_000;
const PORTS = 10_000;
const usedPorts = new Set<number>();

/** Returns a port that is not in use at the moment. Never returns the same port twice. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (usedPorts.has(port) || !(await isFree(port))) continue;
    usedPorts.add(port);
    return port;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    await listening(server, port);
  } catch {
    return false;
  }
  await new Promise((done) => server.close(done));
  return true;
}

function listening(server: Server, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen(port, HOST, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Serves a simulated service on a port; port 0 selects any free one. */
export async function serveOnLoopback(
  handler: Handler,
  port = 0,
): Promise<{ server: Server; address: string }> {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = decodeMap(Buffer.concat(chunks)) ?? {};
      const result = handler(request.method ?? 'GET', request.url ?? '/', body, 'controller');
      void Promise.resolve(result).then(({ status, body: responseBody }) => {
        // Status 0: the simulated network delivered no response.
        if (status === 0) {
          request.destroy();
          return;
        }
        response
          .writeHead(status, { 'content-type': 'application/cbor' })
          .end(encode(responseBody));
      });
    });
  });
  return { server, address: `${HOST}:${await listening(server, port)}` };
}

/** Closes a server and its connections. */
export function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}
