/** The free capacity of a simulated cluster's machines, and of those that its cloud would rent. */
import type { CloudService } from './cloud.js';
import type { Invariants } from './invariants.js';
import { type MachineCapacity, type Place, subtractTask } from './places.js';
import type { CloudType } from './wire/cloud.js';

/** Returns the machine type of this name, which must be in the list. */
export function findType(types: readonly CloudType[], name: string): CloudType {
  const type = types.find((candidate) => candidate.name === name);
  if (!type) throw new Error(`no machine type ${name}`);
  return type;
}

function emptyMachine(
  types: readonly CloudType[],
  machine: string,
  { type, zone, spot }: Omit<Place, 'machine'>,
): MachineCapacity {
  const { cpus, gpus, memoryGb } = findType(types, type);
  return { machine, type, zone, spot, freeCpus: cpus, freeGpus: gpus, freeMemoryGb: memoryGb };
}

/** Returns the running machines that are not faulty, with the free capacity of each. */
export function runningCapacities(
  cloud: CloudService,
  invariants: Invariants,
  types: readonly CloudType[],
): MachineCapacity[] {
  const capacities = new Map<string, MachineCapacity>();
  for (const machine of cloud.machines.values())
    if (machine.worker && !machine.worker.config.faulty)
      capacities.set(machine.id, emptyMachine(types, machine.id, machine));
  for (const [task, places] of invariants.placesByTask)
    for (const { machine } of places) {
      const capacity = capacities.get(machine);
      if (capacity) subtractTask(capacity, invariants.specOf(task));
    }
  return [...capacities.values()];
}

/** Returns the machines that the cloud would rent now. */
export function rentableCapacities(
  cloud: CloudService,
  types: readonly CloudType[],
): MachineCapacity[] {
  return cloud.available().map((place) => emptyMachine(types, '', place));
}
