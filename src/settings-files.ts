/** Reads the settings files that are named on the command line. */
import { readFileSync } from 'node:fs';
import { type OperatorSettings, readOperatorSettings } from './settings/operator.js';
import { type PlatformSettings, readPlatformSettings } from './settings/platform.js';
import { SettingsError } from './settings/settings-table.js';

/** Invalid input to a command: the message states what is invalid, and in which file. */
export class BadInputError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'BadInputError';
  }
}

/** Paths of the files that are named on the command line. */
export interface SettingsFiles {
  config: string;
  operator?: string;
}

/** All settings of a process. */
export interface Settings {
  platform: PlatformSettings;
  operator: OperatorSettings;
}

/**
 * Throws a `BadInputError` if a file cannot be read or contains invalid settings. Without an operators' file, the
 * default settings apply.
 */
export function loadSettings(files: SettingsFiles): Settings {
  const platform = loadPlatformSettings(files.config);
  return { platform, operator: loadOperatorSettings(files.operator, platform.zone) };
}

function readFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    throw new BadInputError(`${path}: cannot be read (${code})`);
  }
}

function loadPlatformSettings(path: string): PlatformSettings {
  const text = readFile(path);
  try {
    return readPlatformSettings(text);
  } catch (error) {
    if (error instanceof SettingsError) throw new BadInputError(`${path}: ${error.message}`);
    throw error;
  }
}

function loadOperatorSettings(path: string | undefined, zone: string): OperatorSettings {
  const input = path === undefined ? {} : readJson(path);
  const read = readOperatorSettings(input, zone);
  if (read.kind === 'valid') return read.settings;
  throw new BadInputError(`${path}: ${read.reason}`);
}

function readJson(path: string): unknown {
  const text = readFile(path);
  try {
    return JSON.parse(text);
  } catch (error) {
    if (error instanceof SyntaxError) throw new BadInputError(`${path}: not JSON`);
    throw error;
  }
}
