/** Entry point: runs a controller, or an operators' command alongside the controllers. */
import { CommanderError } from 'commander';
import { createCommandLine } from './command-line.js';
import { type CommandOutcome, EXIT_BAD_INPUT } from './command-outcome.js';
import { runController } from './controller-process.js';
import { BadInputError } from './settings-files.js';

function exitWithBadInput(message: string): never {
  process.stderr.write(`millring: ${message}\n`);
  process.exit(EXIT_BAD_INPUT);
}

/** Exits once the text has been written, which takes some time if the output is a pipe. */
function exitWithOutcome(outcome: CommandOutcome, isJson: boolean): void {
  const isForOutput = outcome.exitCode === 0 || isJson;
  (isForOutput ? process.stdout : process.stderr).write(`${outcome.text}\n`, () => {
    process.exit(outcome.exitCode);
  });
}

async function main(): Promise<void> {
  const commandLine = createCommandLine({
    runController: (settings) => {
      runController(settings, (error) => exitWithBadInput(`listen: ${error.message}`));
    },
    commandEnded: exitWithOutcome,
  });
  try {
    await commandLine.parseAsync();
  } catch (error) {
    if (error instanceof BadInputError) exitWithBadInput(error.message);
    if (error instanceof CommanderError) process.exit(error.exitCode === 0 ? 0 : EXIT_BAD_INPUT);
    throw error;
  }
}

void main();
