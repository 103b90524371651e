/** Seeds in the arguments of test commands: a single seed or a range. */
import { InvalidArgumentError } from 'commander';

/** Seeds from `from` to `to`, both included. */
export interface SeedRange {
  from: number;
  to: number;
}

/** Parses an argument for commander, such as `7` or `1-50`. */
export function parseSeedRange(text: string): SeedRange {
  const match = /^(\d+)(?:-(\d+))?$/.exec(text);
  const from = Number(match?.[1]);
  const to = Number(match?.[2] ?? from);
  if (!match || from < 1 || to < from)
    throw new InvalidArgumentError('expected A or A-B, from 1 on.');
  return { from, to };
}
