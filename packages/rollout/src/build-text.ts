/** Builds put into words. */
import type { Build } from './levels.js';

/** The stored form, by which builds are compared: it must never change. */
export function storedBuildText({ version, reads, writes }: Build): string {
  return `${version} (reads ${reads.from} to ${reads.to}, writes ${writes})`;
}

/** For lists and log fields. */
export function summarizeBuild({ version, reads, writes }: Build): string {
  return `${version}, reads ${reads.from} to ${reads.to}, writes ${writes}`;
}

/** For reasons, after a verb such as "runs". */
export function describeBuild({ version, reads, writes }: Build): string {
  return `build ${version}, which reads levels ${reads.from} to ${reads.to} and writes up to ${writes}`;
}
