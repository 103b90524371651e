/** Runs a controller node on real sockets until the process ends. */
import { createHttpServer } from './http/http-server.js';
import { ControllerNode } from './node.js';
import { PeerNetwork } from './peers/peer-network.js';
import { createLog, createProcessRuntime } from './process-runtime.js';
import type { Log, Runtime } from './runtime.js';
import type { Settings } from './settings-files.js';
import { allocateSockets } from './http/socket-allocation.js';

const DEFAULT_LOG_LEVEL = 'info';

/** `onListenError` is called if the address for users and workers cannot be listened on. */
export function runController(settings: Settings, onListenError: (error: Error) => void): void {
  const { platform } = settings;
  const log = createLog(process.env.LOG_LEVEL ?? DEFAULT_LOG_LEVEL, platform.node);
  const runtime = createProcessRuntime(platform, log);
  const peers = new PeerNetwork(runtime, platform.peerBindAddress, platform.peers);
  const node = createNode(settings, runtime, peers);
  listen(node, settings, log, onListenError);
  peers.run();
  node.run();
}

function createNode(
  { platform, operator }: Settings,
  runtime: Runtime,
  peers: PeerNetwork,
): ControllerNode {
  const node = new ControllerNode({
    runtime,
    settings: platform,
    operator,
    wallMs: () => Date.now(),
    peers,
  });
  peers.messages.subscribe((message) => {
    node.handlePeerMessage(message);
  });
  return node;
}

function listen(
  node: ControllerNode,
  { platform }: Settings,
  log: Log,
  onError: (error: Error) => void,
): void {
  const server = createHttpServer(node, platform.maxSockets, log);
  const [host, port] = platform.listenAddress.split(':');
  server.on('error', onError);
  server.listen(Number(port), host, allocateSockets(platform.maxSockets).backlog, () => {
    log.info({ listen: platform.listenAddress }, 'listening');
  });
}
