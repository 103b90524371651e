/**
 * Feature levels. A level is a whole number; raising the cluster's level by one turns on the features registered
 * for the new level. Each build declares which levels it can read and the highest that it can write.
 */

/** What every build with this package can read and write: the forms and decisions from before there were levels. */
export const BASE_LEVEL = 1;

/** Both ends included. */
interface LevelRange {
  from: number;
  to: number;
}

/** What a program declares of itself. */
export interface Build {
  /** Shown to operators; two builds with the same text count as the same build. */
  version: string;
  /** The levels whose records, messages and decisions it understands. */
  reads: LevelRange;
  /** The highest level whose forms it can write. */
  writes: number;
}

/** A form or decision that is used only from a level on. */
export interface Feature {
  name: string;
  /** The cluster level that turns it on. */
  level: number;
  /** What the feature changes, for operators and reviewers. */
  covers: { records: string[]; messages: string[]; decisions: string[] };
  /**
   * What a build from before this package makes of it, since such a build can't refuse to serve by itself.
   * `harmless`: it takes the form for missing knowledge, which keeps every rule. `unsafe`: it would misread it.
   */
  withoutGate: 'harmless' | 'unsafe';
  /** Whether its records can be rewritten in the form of the level below. */
  reversible: boolean;
}

/** A mistake in the program: a feature that is registered wrongly, or not at all. */
export class FeatureRegistryError extends Error {}

/** All features that a build knows. */
export class FeatureRegistry {
  private readonly byName = new Map<string, Feature>();

  constructor(features: readonly Feature[]) {
    for (const feature of features) {
      if (this.byName.has(feature.name))
        throw new FeatureRegistryError(`${feature.name}: registered twice`);
      if (!Number.isInteger(feature.level) || feature.level <= BASE_LEVEL)
        throw new FeatureRegistryError(`${feature.name}: level must be above ${BASE_LEVEL}`);
      this.byName.set(feature.name, feature);
    }
  }

  /** Throws for a name that nobody registered: a misspelt gate would never open. */
  get(name: string): Feature {
    const feature = this.byName.get(name);
    if (!feature) throw new FeatureRegistryError(`${name}: not registered`);
    return feature;
  }

  /** The features that come with this very level. */
  atLevel(level: number): Feature[] {
    return [...this.byName.values()].filter((feature) => feature.level === level);
  }

  /** Features above `target` up to `active` whose records can't be converted back. */
  irreversibleBetween(target: number, active: number): Feature[] {
    return [...this.byName.values()].filter(
      (feature) => feature.level > target && feature.level <= active && !feature.reversible,
    );
  }
}

/** Can the build serve while the cluster's level is `level`? */
export function canRead(build: Build, level: number): boolean {
  return build.reads.from <= level && level <= build.reads.to;
}

/** Can the build take part in raising the level to `target`? */
export function canRaiseTo(build: Build, target: number): boolean {
  return canRead(build, target) && build.writes >= target;
}
