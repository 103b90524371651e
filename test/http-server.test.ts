/** The HTTP server on real loopback sockets, with more workers than it has sockets. */
import assert from 'node:assert/strict';
import { Agent, request } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { type TestContext, test } from 'node:test';
import { createHttpServer } from '../src/http/http-server.js';
import type { ControllerNode } from '../src/node.js';
import type { Log } from '../src/runtime.js';
import { allocateSockets } from '../src/http/socket-allocation.js';
import { encode } from '../src/wire/cbor.js';
import { quietLog } from './sim/quiet-log.js';
import { HEARTBEAT_PATH } from './sim/wire/workers.js';

const LIMIT = 60;

/** A fake controller that responds to heartbeats with `status`: 200 as the leader, 421 as a follower. */
function nodeRespondingWith(status: number): ControllerNode {
  return {
    handleHeartbeat: () => ({ status, body: {} }),
    health: () => ({ kind: 'healthy' }),
  } satisfies Partial<ControllerNode> as Partial<ControllerNode> as ControllerNode;
}

function sendRequest(
  port: number,
  method: string,
  path: string,
  agent: Agent,
  body = {},
): Promise<[number, string]> {
  return new Promise((done, failed) => {
    const outgoing = request({ port, method, path, agent }, (res) => {
      res.resume();
      res.on('end', () => {
        done([res.statusCode!, res.headers.connection ?? '']);
      });
    });
    outgoing.on('error', failed);
    outgoing.end(method === 'POST' ? encode(body) : undefined);
  });
}

/** Starts a server that is closed when the test ends. Returns its port. */
async function serve(
  context: TestContext,
  node: ControllerNode,
  log: Log = quietLog,
): Promise<number> {
  const server = createHttpServer(node, LIMIT, log);
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  return (server.address() as AddressInfo).port;
}

test('with more workers than sockets every heartbeat gets a response, and health checks still succeed', async (context) => {
  const shares = allocateSockets(LIMIT);
  const port = await serve(context, nodeRespondingWith(200));
  const agents: Agent[] = [];
  for (let i = 0; i < 2 * shares.maxInbound; i++) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    agents.push(agent);
    const [status, connection] = await sendRequest(port, 'POST', HEARTBEAT_PATH, agent);
    assert.equal(status, 200);
    assert.equal(
      connection,
      i < shares.maxKeptWorkerConnections ? 'keep-alive' : 'close',
      `worker ${i}`,
    );
  }
  const health = await sendRequest(port, 'GET', '/healthz', new Agent());
  assert.equal(health[0], 200);
  for (const agent of agents) agent.destroy();
});

test('the connection of a worker that is redirected to the leader is closed', async (context) => {
  const port = await serve(context, nodeRespondingWith(421));
  const agent = new Agent({ keepAlive: true });
  assert.deepEqual(await sendRequest(port, 'POST', HEARTBEAT_PATH, agent), [421, 'close']);
  agent.destroy();
});

/** Connects, sends a heartbeat and disconnects before the response. */
function sendAndDisconnect(port: number): Promise<void> {
  return new Promise((done) => {
    const socket = connect({ port, host: '127.0.0.1' }, () => {
      socket.write(`POST ${HEARTBEAT_PATH} HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n`);
      socket.end();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      done();
    });
    socket.resume();
  });
}

// After a restart of all controllers, a leader responded to 3000 heartbeats in 16 s, all of them too late.
test('heartbeats of workers that disconnected while waiting are dropped, and open and later connections are still served', async (context) => {
  let heartbeats = 0;
  const lines: string[] = [];
  const node = {
    handleHeartbeat: () => {
      heartbeats++;
      return { status: 200, body: {} };
    },
    health: () => ({ kind: 'healthy' }),
  } satisfies Partial<ControllerNode> as Partial<ControllerNode> as ControllerNode;
  const log = { ...quietLog, info: (_fields: object, text: string) => void lines.push(text) };
  const port = await serve(context, node, log);
  const kept = new Agent({ keepAlive: true, maxSockets: 1 });
  assert.equal((await sendRequest(port, 'POST', HEARTBEAT_PATH, kept))[0], 200);
  for (let wave = 0; wave < 3; wave++)
    await Promise.all(Array.from({ length: 20 }, () => sendAndDisconnect(port)));
  assert.equal(heartbeats, 1);
  assert.equal(
    (await sendRequest(port, 'POST', HEARTBEAT_PATH, kept))[0],
    200,
    'open connections are still served',
  );
  await new Promise((done) => setTimeout(done, 200));
  assert.ok(lines.some((line) => line.startsWith('dropped connections')));
  const fresh = new Agent({ keepAlive: true });
  assert.equal(
    (await sendRequest(port, 'POST', HEARTBEAT_PATH, fresh))[0],
    200,
    'new connections are accepted after the accept queue was dropped',
  );
  for (const agent of [kept, fresh]) agent.destroy();
  assert.equal(heartbeats, 3);
});

test('a heartbeat whose handler throws gets 503, one that is too large gets 400, and the server goes on serving', async (context) => {
  const faulty = {
    handleHeartbeat: (body: unknown) => {
      if (body !== null) throw new Error('handler failed');
      return { status: 400, body: {} };
    },
    health: () => ({ kind: 'healthy' }),
  } satisfies Partial<ControllerNode> as Partial<ControllerNode> as ControllerNode;
  const port = await serve(context, faulty);
  const agent = new Agent({ keepAlive: true });
  assert.equal((await sendRequest(port, 'POST', HEARTBEAT_PATH, agent))[0], 503);
  assert.equal(
    (await sendRequest(port, 'POST', HEARTBEAT_PATH, agent, { x: 'y'.repeat(70_000) }))[0],
    400,
  );
  assert.equal((await sendRequest(port, 'GET', '/healthz', agent))[0], 200);
  agent.destroy();
});

test('allocated sockets stay within the limit, for every limit', () => {
  for (const limit of [60, 400, 1000, 1308, 1923, 20_000]) {
    const shares = allocateSockets(limit);
    assert.ok(
      shares.maxInbound + shares.backlog + shares.maxConnectionsToWorkers < limit,
      String(limit),
    );
    assert.ok(
      shares.maxKeptWorkerConnections < shares.maxInbound &&
        shares.maxRequestsToWorkers < shares.maxConnectionsToWorkers,
      String(limit),
    );
  }
});
