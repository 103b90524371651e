/** Amounts of CPUs and GPUs, and their sums over tasks. */

/** CPUs and GPUs of one task or of several together. Memory is no part of a team's quota. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
}

/** The empty sum. */
export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0 };

/** Sums of decimal amounts may be off by this much. */
export const ROUNDING_TOLERANCE = 1e-6;

/** The sum of two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
  return { cpus: left.cpus + right.cpus, gpus: left.gpus + right.gpus };
}

/** The amount times a factor; a factor of -1 gives what `addResources` subtracts. */
export function scaleResources(amount: Resources, factor: number): Resources {
  return { cpus: amount.cpus * factor, gpus: amount.gpus * factor };
}
