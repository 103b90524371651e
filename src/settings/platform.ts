/**
 * Reads the settings file that the platform hands over (TOML). A missing or invalid field is named in the
 * error.
 */
import { parse } from 'smol-toml';

export interface Team {
  name: string;
  cpus: number;
  gpus: number;
  /** Infinity where the file says 0: no limit. */
  cpusMax: number;
  gpusMax: number;
}

export interface Objective {
  kind: string;
  cls: string | null;
  withinS: number | null;
}

export interface Peer {
  name: string;
  zone: string;
  address: string;
}

/** The file that the platform hands over. Unknown fields are ignored, since new ones may come. */
export interface PlatformSettings {
  node: string;
  zone: string;
  listen: string;
  peerBind: string;
  peers: Peer[];
  cloud: string;
  state: string;
  nodes: number;
  teams: Team[];
  objectives: Objective[];
  reportS: number;
  leaseS: number;
  cancelS: number;
  /** How long a gang task waits for the others before it gives up. */
  gangWaitS: number;
  /** Within this time the tasks of a running gang notice that one of them is gone. */
  gangPeerS: number;
  stateRps: number;
  stateWriteRps: number;
  valueKb: number;
  txnOps: number;
  cloudRps: number;
  listLagS: number;
  /** Sockets that this process may hold. */
  sockets: number;
}

export class SettingsError extends Error {}

type Table = Record<string, unknown>;

function table(v: unknown, path: string): Table {
  if (typeof v !== 'object' || v === null || Array.isArray(v))
    throw new SettingsError(`${path}: table is missing`);
  return v as Table;
}

function list(v: unknown, path: string): Table[] {
  if (v === undefined) return [];
  if (!Array.isArray(v)) throw new SettingsError(`${path}: must be a list of tables`);
  return v.map((x, i) => table(x, `${path}[${i}]`));
}

function text(t: Table, field: string, path: string): string {
  const v = t[field];
  if (typeof v !== 'string' || v === '') throw new SettingsError(`${path}${field}: must be a text`);
  return v;
}

function address(t: Table, field: string, path: string): string {
  const v = text(t, field, path);
  const port = Number(/^[^:\s]+:(\d{1,5})$/.exec(v)?.[1]);
  if (!(port > 0 && port < 65536)) throw new SettingsError(`${path}${field}: must be HOST:PORT`);
  return v;
}

function number(t: Table, field: string, path: string, min: number): number {
  const v = typeof t[field] === 'bigint' ? Number(t[field]) : t[field];
  if (typeof v !== 'number' || !Number.isFinite(v) || v < min)
    throw new SettingsError(`${path}${field}: must be a number of at least ${min}`);
  return v;
}

/** Platforms without gangs may leave these out. */
const DEFAULT_GANG_WAIT_S = 30;
const DEFAULT_GANG_PEER_S = 6;

function optional(t: Table, field: string, path: string, missing: number): number {
  return t[field] === undefined ? missing : number(t, field, path, 0);
}

const orNoLimit = (n: number): number => (n === 0 ? Infinity : n);

export function readPlatformSettings(source: string): PlatformSettings {
  let root: Table;
  try {
    root = parse(source);
  } catch (e) {
    throw new SettingsError(`not TOML: ${(e as Error).message.split('\n')[0]}`);
  }
  const outside = table(root.outside, 'outside');
  const params = table(root.params, 'params');
  const workers = table(params.workers, 'params.workers');
  const state = table(params.state, 'params.state');
  const next = state.next === undefined ? {} : table(state.next, 'params.state.next');
  // Limits that will come without notice: whatever is written keeps to the stricter ones from the start.
  const limit = (field: string, min: number): number =>
    Math.min(
      number(state, field, 'params.state.', min),
      next[field] === undefined ? Infinity : number(next, field, 'params.state.next.', min),
    );
  const cloud = table(params.cloud, 'params.cloud');
  const limits = table(params.machine_limits, 'params.machine_limits');
  return {
    node: text(root, 'node_name', ''),
    zone: text(root, 'location', ''),
    listen: address(root, 'listen', ''),
    peerBind: address(root, 'peer_bind', ''),
    peers: list(root.others, 'others').map((t, i) => ({
      name: text(t, 'node_name', `others[${i}].`),
      zone: text(t, 'location', `others[${i}].`),
      address: address(t, 'peer_addr', `others[${i}].`),
    })),
    cloud: address(outside, 'cloud', 'outside.'),
    state: address(outside, 'state', 'outside.'),
    nodes: number(params, 'nodes', 'params.', 1),
    teams: list(params.teams, 'params.teams').map((t, i) => {
      const path = `params.teams[${i}].`;
      return {
        name: text(t, 'name', path),
        cpus: number(t, 'cpus', path, 0),
        gpus: number(t, 'gpus', path, 0),
        cpusMax: orNoLimit(number(t, 'cpus_max', path, 0)),
        gpusMax: orNoLimit(number(t, 'gpus_max', path, 0)),
      };
    }),
    objectives: list(params.objectives, 'params.objectives').map((t, i) => ({
      kind: text(t, 'kind', `params.objectives[${i}].`),
      cls: typeof t.class === 'string' ? t.class : null,
      withinS: typeof t.within_s === 'number' ? t.within_s : null,
    })),
    reportS: number(workers, 'report_s', 'params.workers.', 0.01),
    leaseS: number(workers, 'lease_s', 'params.workers.', 0.1),
    cancelS: number(workers, 'cancel_s', 'params.workers.', 0.1),
    gangWaitS: optional(workers, 'gang_wait_s', 'params.workers.', DEFAULT_GANG_WAIT_S),
    gangPeerS: optional(workers, 'gang_peer_s', 'params.workers.', DEFAULT_GANG_PEER_S),
    stateRps: limit('rps', 1),
    stateWriteRps: limit('write_rps', 1),
    valueKb: limit('value_kb', 0.5),
    txnOps: limit('txn_ops', 2),
    cloudRps: number(cloud, 'rps', 'params.cloud.', 0.1),
    listLagS: number(cloud, 'list_lag_s', 'params.cloud.', 0),
    sockets: number(limits, 'sockets', 'params.machine_limits.', 1),
  };
}
