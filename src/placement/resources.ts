/** CPUs and GPUs, summed over tasks. */
export interface Resources {
  cpus: number;
  gpus: number;
}

export const NO_RESOURCES: Readonly<Resources> = { cpus: 0, gpus: 0 };
