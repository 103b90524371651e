/** Reads the machine types that the cloud offers. */
import type { Cloud } from './autoscaler/cloud.js';
import { type Runtime, sleep } from './runtime.js';
import type { StateStore } from './state-store/client.js';
import type { Body } from './wire/cbor.js';
import { catalogBody, readMachineTypes } from './wire/cloud.js';
import type { MachineType } from './wire/model.js';

/** Key of the stored copy. */
export const MACHINE_TYPES_KEY = 'catalog';

const RETRY_MS = 300;
const RETRY_JITTER_MS = 300;

/** The machine types. They are read once, since they do not change while a process runs. */
export class MachineTypeCatalog {
  private known: MachineType[] | null = null;

  constructor(
    private readonly runtime: Runtime,
    private readonly store: StateStore,
    private readonly cloud: Cloud,
  ) {}

  /** Returns the machine types, or null until they are known. */
  types(): MachineType[] | null {
    return this.known;
  }

  /**
   * Reads the copy that a node has stored, so that the cloud need not be reachable. If there is no readable copy,
   * requests the types from the cloud and stores a copy. Retries until the types are known.
   */
  async load(): Promise<void> {
    while (this.known === null) {
      const stored = await this.store.get(MACHINE_TYPES_KEY);
      if (stored.kind === 'found') {
        this.known = readMachineTypes(stored.entry.value as Body);
        if (this.known) return;
      }
      const offered = await this.cloud.listMachineTypes();
      if (offered) {
        this.known = offered;
        const copy = { put: MACHINE_TYPES_KEY, value: catalogBody(offered) };
        void this.store.compareAndSwap([], [copy]);
        return;
      }
      await sleep(this.runtime.clock, RETRY_MS + this.runtime.random() * RETRY_JITTER_MS);
    }
  }
}
