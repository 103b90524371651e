/** The command line: runs a controller, or an operators' command beside the controllers. */
import { readFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { DUTIES, type Duty } from '@millring/duties';
import { Argument, Command, CommanderError } from 'commander';
import pino from 'pino';
import manifest from '../package.json' with { type: 'json' };
import { httpServer } from './http-server.js';
import { ControllerNode } from './node.js';
import { outgoing } from './outgoing.js';
import { PeerNetwork } from './peers/peer-network.js';
import type { CommandOutcome } from './command-outcome.js';
import { type DutiesCommand, runDutiesCommand } from './duties/command-line.js';
import { ROLLOUT_ACTIONS, type RolloutAction, runRolloutCommand } from './rollout/command-line.js';
import type { Runtime } from './runtime.js';
import { shareSockets } from './sockets.js';
import { type OperatorSettings, readOperatorSettings } from './settings/operator.js';
import { type PlatformSettings, SettingsError, readPlatformSettings } from './settings/platform.js';

const EXIT_BAD_INPUT = 2;

const DUTY_ACTIONS = ['status', 'hold', 'release'] as const;
type DutyAction = (typeof DUTY_ACTIONS)[number];

interface Options {
  config: string;
  operator?: string;
  json?: boolean;
}

interface Settings {
  platform: PlatformSettings;
  operator: OperatorSettings;
}

function fail(line: string): never {
  process.stderr.write(`millring: ${line}\n`);
  process.exit(EXIT_BAD_INPUT);
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
  const read = readOperatorSettings(input, location);
  return read.kind === 'valid' ? read.settings : fail(`${path}: ${read.reason}`);
}

function loadSettings(options: Options): Settings {
  const platform = loadPlatform(options.config);
  return { platform, operator: loadOperator(options.operator, platform.zone) };
}

function realWorld(platform: PlatformSettings, log: Runtime['log']): Runtime {
  return {
    clock: {
      now: () => performance.now(),
      after: (ms, fn) => {
        const t = setTimeout(fn, ms);
        return () => {
          clearTimeout(t);
        };
      },
    },
    http: outgoing([platform.state, platform.cloud], shareSockets(platform.sockets).toWorkers),
    log,
    random: () => Math.random(),
  };
}

function logger(level: string, node: string): Runtime['log'] {
  return pino({ level, base: { node } }, pino.destination({ dest: 2, sync: true }));
}

function runController({ platform, operator }: Settings): void {
  const log = logger(process.env.LOG_LEVEL ?? 'info', platform.node);
  const world = realWorld(platform, log);
  const peers = new PeerNetwork(
    world,
    platform.peerBind,
    platform.peers.map((p) => p.address),
  );
  const node = new ControllerNode(
    world,
    platform,
    operator,
    () => Date.now(),
    (m) => {
      peers.broadcast(m);
    },
  );
  peers.messages.subscribe((m) => {
    node.handlePeerMessage(m);
  });
  const server = httpServer(node, platform.sockets, log);
  const [host, port] = platform.listen.split(':');
  server.on('error', (e) => fail(`listen: ${e.message}`));
  server.listen(Number(port), host, shareSockets(platform.sockets).backlog, () => {
    log.info({ listen: platform.listen }, 'listening');
  });
  peers.run();
  node.run();
}

async function runRollout(action: RolloutAction, options: Options): Promise<void> {
  const { platform, operator } = loadSettings(options);
  const world = realWorld(platform, logger('silent', platform.node));
  const command = { action, json: options.json === true };
  const outcome = await runRolloutCommand(command, world, platform, operator, () => Date.now());
  end(outcome, command.json);
}

async function runDuties(command: DutiesCommand, options: Options): Promise<void> {
  const { platform } = loadSettings(options);
  const world = realWorld(platform, logger('silent', platform.node));
  end(await runDutiesCommand(command, world, platform, () => Date.now()), command.json);
}

function end(outcome: CommandOutcome, isJson: boolean): void {
  const isForOutput = outcome.exitCode === 0 || isJson;
  (isForOutput ? process.stdout : process.stderr).write(`${outcome.text}\n`, () => {
    process.exit(outcome.exitCode);
  });
}

function commandLine(): Command {
  const program = new Command('millring')
    .description('A controller of the millring cluster scheduler.')
    .version(manifest.version)
    .requiredOption('--config <file>', 'settings handed over by the platform (TOML)')
    .option('--operator <file>', "operators' own settings (JSON)")
    .showSuggestionAfterError(false)
    .exitOverride();
  program.action(() => {
    runController(loadSettings(program.opts()));
  });
  program
    .command('rollout')
    .description("Shows or changes the cluster's feature level.")
    .addArgument(new Argument('<action>').choices(ROLLOUT_ACTIONS))
    .option('--json', 'answer as JSON')
    .showSuggestionAfterError(false)
    .exitOverride()
    .action((action: RolloutAction, _options: unknown, command: Command) =>
      runRollout(action, command.optsWithGlobals()),
    );
  addDutiesCommands(program);
  return program;
}

function addDutiesCommands(program: Command): void {
  program
    .command('duties')
    .description('Shows who holds which duty; keeps everyone from holding one, or ends that.')
    .addArgument(new Argument('<action>').choices(DUTY_ACTIONS))
    .addArgument(new Argument('[duty]').choices(DUTIES))
    .option('--json', 'answer as JSON')
    .showSuggestionAfterError(false)
    .exitOverride()
    .action((action: DutyAction, duty: Duty | undefined, _options: unknown, command: Command) => {
      const options: Options = command.optsWithGlobals();
      return runDuties(dutiesCommand(action, duty, options.json === true), options);
    });
}

function dutiesCommand(action: DutyAction, duty: Duty | undefined, json: boolean): DutiesCommand {
  if (action === 'status')
    return duty === undefined ? { action, json } : fail('status: takes no duty');
  return duty === undefined ? fail(`${action}: the duty is missing`) : { action, duty, json };
}

async function main(): Promise<void> {
  try {
    await commandLine().parseAsync();
  } catch (e) {
    if (!(e instanceof CommanderError)) throw e;
    process.exit(e.exitCode === 0 ? 0 : EXIT_BAD_INPUT);
  }
}

void main();
