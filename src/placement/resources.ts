/** Amounts of CPUs and GPUs, and their sums over tasks. */

/** CPUs and GPUs of one task or of several together. Memory is not part of a team's quota. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
}

/** The empty sum. */
export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0 };

/** Tolerance for rounding errors in sums of decimal amounts. */
export const ROUNDING_TOLERANCE = 1e-6;

/** The sum of two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
  return { cpus: left.cpus + right.cpus, gpus: left.gpus + right.gpus };
}

/** The amount times a factor; adding an amount scaled by -1 with `addResources` subtracts it. */
export function scaleResources(amount: Resources, factor: number): Resources {
  return { cpus: amount.cpus * factor, gpus: amount.gpus * factor };
}

/** Number of tasks that fit into an amount of which each takes `perTask`; `Infinity` if they take nothing. */
export function wholeTasks(available: number, perTask: number): number {
  return perTask > 0 ? Math.floor(available / perTask + ROUNDING_TOLERANCE) : Infinity;
}
