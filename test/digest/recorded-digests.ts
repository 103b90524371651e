/** Digests stored in a file, one JSON object per line. */
import { readFileSync, writeFileSync } from 'node:fs';

/** The digest of all messages that the controllers send in a seed's run, and their number. */
export interface SeedDigest {
  seed: number;
  digest: string;
  messages: number;
}

/** Seeds whose digest differs from the recorded one, and seeds without a recorded digest. */
export interface DigestDifferences {
  different: number[];
  unrecorded: number[];
}

export function writeDigests(path: string, digests: SeedDigest[]): void {
  writeFileSync(path, digests.map((digest) => JSON.stringify(digest) + '\n').join(''));
}

export function readDigests(path: string): SeedDigest[] {
  const lines = readFileSync(path, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as SeedDigest);
}

/** Compares digests with the recorded ones. */
export function compareDigests(actual: SeedDigest[], expected: SeedDigest[]): DigestDifferences {
  const recorded = new Map(expected.map(({ seed, digest }) => [seed, digest]));
  const isRecorded = ({ seed }: SeedDigest): boolean => recorded.has(seed);
  const differs = ({ seed, digest }: SeedDigest): boolean => recorded.get(seed) !== digest;
  return {
    different: actual
      .filter((digest) => isRecorded(digest) && differs(digest))
      .map(({ seed }) => seed),
    unrecorded: actual.filter((digest) => !isRecorded(digest)).map(({ seed }) => seed),
  };
}
