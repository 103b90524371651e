/** Text forms of builds. */
import type { Build } from './levels.js';

/** Returns the form that is stored. Builds are compared by it, so it must never change. */
export function storedBuildText({ version, reads, writes }: Build): string {
  return `${version} (reads ${reads.from} to ${reads.to}, writes ${writes})`;
}

/** Returns the form for lists and log fields. */
export function listedBuildText({ version, reads, writes }: Build): string {
  return `${version}, reads ${reads.from} to ${reads.to}, writes ${writes}`;
}

/** Returns the form for reasons, which follows a verb such as "runs". */
export function buildPhrase({ version, reads, writes }: Build): string {
  return `build ${version}, which reads levels ${reads.from} to ${reads.to} and writes up to ${writes}`;
}
