/** Connections between controllers, on real sockets of the loopback interface. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type Server, type Socket, createServer } from 'node:net';
import { test } from 'node:test';
import { PeerConnection } from '../src/peers/peer-connection.js';
import type { Clock } from '../src/runtime.js';
import { freePort } from './sim/loopback-server.js';
import { waitUntil } from './sim/wait-until.js';

const HOST = '127.0.0.1';

/** A process of the other controller. */
class PeerProcess {
  private readonly sockets: Socket[] = [];
  private readonly server: Server = createServer((socket) => this.sockets.push(socket));

  async listen(port: number): Promise<void> {
    this.server.listen(port, HOST);
    await once(this.server, 'listening');
  }

  end(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

// Guards against a grant to one process of a controller that reaches the next one.
test('a connection counts from when the present process of the other controller was reached', async (context) => {
  const port = await freePort();
  const processes = [new PeerProcess(), new PeerProcess()];
  let isTestOver = false;
  context.after(() => {
    isTestOver = true;
    for (const process of processes) process.end();
  });
  const clock: Clock = {
    now: () => performance.now(),
    after: (ms, callback) => {
      const timer = setTimeout(() => {
        if (!isTestOver) callback();
      }, ms);
      return () => {
        clearTimeout(timer);
      };
    },
  };
  const connection = new PeerConnection(clock, `${HOST}:${port}`);
  await processes[0].listen(port);
  assert.equal(connection.openSince(), null);
  connection.run();
  await waitUntil('a connection', () => connection.openSince() !== null);
  processes[0].end();
  await waitUntil('the end of the connection', () => connection.openSince() === null);
  const endedAt = clock.now();
  await processes[1].listen(port);
  await waitUntil('a new connection', () => connection.openSince() !== null);
  assert.ok(connection.openSince()! > endedAt);
});
