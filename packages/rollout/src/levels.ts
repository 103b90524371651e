/**
 * Feature levels. A level is an integer. Raising the cluster's level by one turns on the features registered for the
 * new level. Each build declares which levels it can read and the highest level that it can write. A build that
 * predates this package declares nothing; it is called a build without feature levels.
 */

/**
 * The level that every build with this package can read and write. It stands for the formats and decisions that predate
 * levels.
 */
export const BASE_LEVEL = 1;

/** A range of levels that includes both ends. */
interface LevelRange {
  from: number;
  to: number;
}

/** The version and the supported levels that a program declares. */
export interface Build {
  /** Version text shown to operators. Two builds with the same text count as the same build. */
  version: string;
  /** The levels whose records, messages and decisions the build understands. */
  reads: LevelRange;
  /** The highest level whose formats the build can write. */
  writes: number;
}

/** A format of records or messages, or a rule for decisions, that is used only from a certain level on. */
export interface Feature {
  name: string;
  /** The cluster's level that turns the feature on. */
  level: number;
  /** What the feature changes, for operators and reviewers. */
  covers: { records: string[]; messages: string[]; decisions: string[] };
  /**
   * How a build without feature levels interprets the feature's format. Such a build can't refuse to serve by itself.
   * `harmless`: it treats the format as missing information, which violates no rule. `unsafe`: it would misread the
   * format.
   */
  withoutLevels: 'harmless' | 'unsafe';
  /** Whether the feature's records can be rewritten in the format of the level below. */
  reversible: boolean;
}

/** A programming error: a feature is registered incorrectly or not at all. */
export class FeatureRegistryError extends Error {}

/** All features known to a build. */
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

  /**
   * Returns the feature with this name. Throws if the name is not registered: a feature looked up under a misspelled
   * name would never be turned on.
   */
  get(name: string): Feature {
    const feature = this.byName.get(name);
    if (!feature) throw new FeatureRegistryError(`${name}: not registered`);
    return feature;
  }

  /** Returns the features that exactly this level turns on. */
  atLevel(level: number): Feature[] {
    return [...this.byName.values()].filter((feature) => feature.level === level);
  }

  /** Returns the features above `target` and up to `active` whose records can't be converted back. */
  irreversibleBetween(target: number, active: number): Feature[] {
    return [...this.byName.values()].filter(
      (feature) => feature.level > target && feature.level <= active && !feature.reversible,
    );
  }
}

/** Whether the build can serve while the cluster's level is `level`. */
export function canRead(build: Build, level: number): boolean {
  return build.reads.from <= level && level <= build.reads.to;
}

/** Whether the build can take part in raising the level to `target`. */
export function canRaiseTo(build: Build, target: number): boolean {
  return canRead(build, target) && build.writes >= target;
}
