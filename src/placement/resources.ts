/** CPUs and GPUs, summed over tasks. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
}

export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0 };

export function plus(a: Resources, b: Resources): Resources {
  return { cpus: a.cpus + b.cpus, gpus: a.gpus + b.gpus };
}

export function times(a: Resources, factor: number): Resources {
  return { cpus: a.cpus * factor, gpus: a.gpus * factor };
}
