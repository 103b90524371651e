import type { World } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import { isMap } from '../wire/cbor.js';
import type { Change, Guard, Pair } from '../wire/messages.js';
import type { Machine, MachineTable } from './table.js';

const PREFIX = 'm/';

export interface MachineRecord {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
}

export function readMachineRecords(pairs: Pair[]): MachineRecord[] {
  const out: MachineRecord[] = [];
  for (const { key, value: v } of pairs) {
    if (
      !isMap(v) ||
      typeof v.endpoint !== 'string' ||
      typeof v.type !== 'string' ||
      typeof v.zone !== 'string'
    )
      continue;
    out.push({
      id: key.slice(PREFIX.length),
      endpoint: v.endpoint,
      type: v.type,
      zone: v.zone,
      spot: v.spot === true,
    });
  }
  return out;
}

export interface RegistryDeps {
  world: World;
  store: StateStore;
  table: MachineTable;
  txnOps: number;
  leads(): boolean;
  leaderGuard(): Guard;
  stored(): void;
}

/**
 * Every machine is in the state service before its first order, and until it is surely gone: so a new leader
 * knows all the machines that may hold tasks.
 */
export class MachineRegistry {
  private busy = false;
  private readonly toRemove = new Set<string>();

  constructor(private readonly deps: RegistryDeps) {}

  removed(m: Machine): void {
    if (m.stored) this.toRemove.add(m.id);
  }

  tick(): void {
    if (this.busy || !this.deps.leads()) return;
    const add: Machine[] = [];
    for (const m of this.deps.table.all()) {
      if (add.length === this.deps.txnOps) break;
      if (!m.stored && m.reported) add.push(m);
    }
    const remove = [...this.toRemove].slice(0, this.deps.txnOps - add.length);
    if (add.length + remove.length === 0) return;
    const changes: Change[] = [
      ...add.map((m): Change => {
        const value = { endpoint: m.endpoint, type: m.type.name, zone: m.zone, spot: m.spot };
        return { put: PREFIX + m.id, value };
      }),
      ...remove.map((id): Change => ({ remove: PREFIX + id })),
    ];
    this.busy = true;
    void this.deps.store.txn([this.deps.leaderGuard()], changes).then((r) => {
      this.busy = false;
      if (r.kind !== 'applied') return;
      for (const m of add) {
        // Gone meanwhile: its record has to go as well.
        if (this.deps.table.get(m.id) === m) m.stored = true;
        else this.toRemove.add(m.id);
      }
      for (const id of remove) this.toRemove.delete(id);
      this.deps.stored();
      this.tick();
    });
  }
}
