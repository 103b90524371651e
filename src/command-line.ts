/** The command line: its options, its commands, and the functions they call. */
import { DUTIES, type Duty } from '@millring/duties';
import { Argument, Command } from 'commander';
import manifest from '../package.json' with { type: 'json' };
import type { CommandOutcome } from './command-outcome.js';
import { type DutiesCommand, runDutiesCommand } from './duties/command-line.js';
import { createLog, createProcessRuntime } from './process-runtime.js';
import { ROLLOUT_ACTIONS, type RolloutAction, runRolloutCommand } from './rollout/command-line.js';
import type { Runtime } from './runtime.js';
import type { PlatformSettings } from './settings/platform.js';
import {
  BadInputError,
  type Settings,
  type SettingsFiles,
  loadSettings,
} from './settings-files.js';

const DUTY_ACTIONS = ['status', 'hold', 'release'] as const;
type DutyAction = (typeof DUTY_ACTIONS)[number];

interface Options extends SettingsFiles {
  json?: boolean;
}

/** Callbacks of the command line. */
export interface CommandLineActions {
  /** Called if no command is given: the process runs as a controller. */
  runController(settings: Settings): void;
  /** Called when an operators' command has ended. */
  commandEnded(outcome: CommandOutcome, isJson: boolean): void;
}

/**
 * Creates the parser. Its commands throw a `BadInputError` for invalid settings or arguments, and commander's own
 * `CommanderError` for those that commander rejects.
 */
export function createCommandLine(actions: CommandLineActions): Command {
  const program = withoutExit(new Command('millring'))
    .description('A controller of the millring cluster scheduler.')
    .version(manifest.version)
    .requiredOption('--config <file>', 'settings handed over by the platform (TOML)')
    .option('--operator <file>', "operators' own settings (JSON)");
  program.action(() => {
    actions.runController(loadSettings(program.opts()));
  });
  addRolloutCommand(program, actions);
  addDutiesCommand(program, actions);
  return program;
}

/** Makes commander throw a `CommanderError` instead of exiting, and turns off its suggestions after an error. */
function withoutExit(command: Command): Command {
  return command.showSuggestionAfterError(false).exitOverride();
}

function addRolloutCommand(program: Command, actions: CommandLineActions): void {
  withoutExit(program.command('rollout'))
    .description("Shows or changes the cluster's feature level.")
    .addArgument(new Argument('<action>').choices(ROLLOUT_ACTIONS))
    .option('--json', 'answer as JSON')
    .action(async (action: RolloutAction, _options: unknown, command: Command) => {
      const options: Options = command.optsWithGlobals();
      const { platform, operator } = loadSettings(options);
      const rolloutCommand = { action, json: options.json === true };
      const runtime = silentRuntime(platform);
      const outcome = await runRolloutCommand(rolloutCommand, runtime, platform, operator, () =>
        Date.now(),
      );
      actions.commandEnded(outcome, rolloutCommand.json);
    });
}

function addDutiesCommand(program: Command, actions: CommandLineActions): void {
  withoutExit(program.command('duties'))
    .description('Shows who holds which duty; keeps everyone from holding one, or ends that.')
    .addArgument(new Argument('<action>').choices(DUTY_ACTIONS))
    .addArgument(new Argument('[duty]').choices(DUTIES))
    .option('--json', 'answer as JSON')
    .action(
      async (action: DutyAction, duty: Duty | undefined, _options: unknown, command: Command) => {
        const options: Options = command.optsWithGlobals();
        const dutiesCommand = readDutiesCommand(action, duty, options.json === true);
        const { platform } = loadSettings(options);
        const runtime = silentRuntime(platform);
        const outcome = await runDutiesCommand(dutiesCommand, runtime, platform, () => Date.now());
        actions.commandEnded(outcome, dutiesCommand.json);
      },
    );
}

function readDutiesCommand(
  action: DutyAction,
  duty: Duty | undefined,
  json: boolean,
): DutiesCommand {
  if (action === 'status') {
    if (duty !== undefined) throw new BadInputError('status: takes no duty');
    return { action, json };
  }
  if (duty === undefined) throw new BadInputError(`${action}: the duty is missing`);
  return { action, duty, json };
}

/** Returns a runtime that logs nothing: operators' commands print their results instead. */
function silentRuntime(platform: PlatformSettings): Runtime {
  return createProcessRuntime(platform, createLog('silent', platform.node));
}
