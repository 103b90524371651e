/** The HTTP client on real sockets. */
import assert from 'node:assert/strict';
import { type Socket, createServer } from 'node:net';
import { test } from 'node:test';
import { HttpClient } from '../src/http/http-client.js';

// The timeout must include the time that a request waits for a connection. Connections to dead machines are never
// established, and a leader noticed such machines seconds late. Here a request without a response occupies the only
// connection.
test(
  'a request that waits for a connection fails when its timeout expires',
  { timeout: 5000 },
  async () => {
    const sockets: Socket[] = [];
    const server = createServer((socket) => sockets.push(socket.unref())).unref();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as { port: number };
    const order: string[] = [];
    const http = new HttpClient({ services: [], maxConnectionsToWorkers: 20 });
    const get = (timeoutMs: number, name: string): Promise<void> =>
      http
        .send(`127.0.0.1:${port}`, 'GET', '/', null, timeoutMs)
        .then((response) => void order.push(`${name} ${response.status}`));
    await Promise.all([get(600, 'first'), get(60, 'second')]);
    assert.deepEqual(order, ['second 0', 'first 0']);
    for (const socket of sockets) socket.destroy();
    server.close();
  },
);
