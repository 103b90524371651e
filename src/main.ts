/** The program: reads its settings, brings the real clock, sockets and log, and runs one controller. */
import { readFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { Command } from 'commander';
import pino from 'pino';
import manifest from '../package.json' with { type: 'json' };
import { httpServer } from './http-server.js';
import { ControllerNode } from './node.js';
import { outgoing } from './outgoing.js';
import { Peers } from './peers/peers.js';
import type { World } from './runtime.js';
import { shareSockets } from './sockets.js';
import { type OperatorSettings, readOperatorSettings } from './settings/operator.js';
import { type PlatformSettings, SettingsError, readPlatformSettings } from './settings/platform.js';

function fail(line: string): never {
  process.stderr.write(`millring: ${line}\n`);
  process.exit(2);
}

function readFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (e) {
    return fail(`${path}: cannot be read (${(e as NodeJS.ErrnoException).code})`);
  }
}

function loadPlatform(path: string): PlatformSettings {
  try {
    return readPlatformSettings(readFile(path));
  } catch (e) {
    if (e instanceof SettingsError) return fail(`${path}: ${e.message}`);
    throw e;
  }
}

function loadOperator(path: string | undefined, location: string): OperatorSettings {
  let input: unknown = {};
  if (path !== undefined)
    try {
      input = JSON.parse(readFile(path));
    } catch (e) {
      if (!(e instanceof SyntaxError)) throw e;
      fail(`${path}: not JSON`);
    }
  const s = readOperatorSettings(input, location);
  return typeof s === 'string' ? fail(`${path}: ${s}`) : s;
}

function main(): void {
  const options = new Command('millring')
    .description('A controller of the millring cluster scheduler.')
    .version(manifest.version)
    .requiredOption('--config <file>', 'settings handed over by the platform (TOML)')
    .option('--operator <file>', "operators' own settings (JSON)")
    .parse()
    .opts<{ config: string; operator?: string }>();
  const settings = loadPlatform(options.config);
  const operator = loadOperator(options.operator, settings.zone);
  const log = pino(
    { level: process.env.LOG_LEVEL ?? 'info', base: { node: settings.node } },
    pino.destination({ dest: 2, sync: true }),
  );
  const world: World = {
    clock: {
      now: () => performance.now(),
      after: (ms, fn) => {
        const t = setTimeout(fn, ms);
        return () => {
          clearTimeout(t);
        };
      },
    },
    http: outgoing([settings.state, settings.cloud], shareSockets(settings.sockets).toWorkers),
    log,
    random: () => Math.random(),
  };
  const peers = new Peers(
    world,
    settings.peerBind,
    settings.peers.map((p) => p.address),
  );
  const node = new ControllerNode(
    world,
    settings,
    operator,
    () => Date.now(),
    (m) => {
      peers.broadcast(m);
    },
  );
  peers.messages.subscribe((m) => {
    node.peerMessage(m);
  });
  const server = httpServer(node, settings.sockets, log);
  const [host, port] = settings.listen.split(':');
  server.on('error', (e) => fail(`listen: ${e.message}`));
  server.listen(Number(port), host, shareSockets(settings.sockets).backlog, () => {
    log.info({ listen: settings.listen }, 'listening');
  });
  peers.run();
  node.run();
}

main();
