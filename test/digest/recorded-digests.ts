/** Digests kept in a file, one JSON object a line. */
import { readFileSync, writeFileSync } from 'node:fs';

/** The digest of all messages of a seed, and how many they were. */
export interface SeedDigest {
  seed: number;
  digest: string;
  messages: number;
}

/** Seeds whose digest is not the recorded one, or is not recorded. */
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

/** Which of the digests are not as recorded. */
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
