/** Reads the settings file that the platform hands over (TOML). */
import { parse } from 'smol-toml';
import { SettingsError, SettingsTable } from './settings-table.js';

/** A team and its quota. */
export interface Team {
  name: string;
  /** Guaranteed. */
  cpus: number;
  gpus: number;
  /** The most that the team may use; infinite without a limit. */
  cpusMax: number;
  gpusMax: number;
}

/** What the platform is measured by. */
export interface Objective {
  /** Kinds that are not known are ignored. */
  kind: string;
  /** The class of jobs that it is about, if any. */
  jobClass: string | null;
  withinS: number | null;
}

/** Another controller. */
interface Peer {
  name: string;
  zone: string;
  address: string;
}

/** The file that the platform hands over. Unknown fields are ignored, since new ones may come. */
export interface PlatformSettings {
  /** Name of this controller. */
  node: string;
  /** The zone of this controller. */
  zone: string;
  /** Addresses are `HOST:PORT`. */
  listenAddress: string;
  peerBindAddress: string;
  /** The other controllers. */
  peers: Peer[];
  cloudAddress: string;
  stateAddress: string;
  /** Controllers that share the budgets of requests. */
  controllerCount: number;
  teams: Team[];
  objectives: Objective[];
  /** Between two heartbeats of a worker. */
  heartbeatIntervalS: number;
  /** Of a worker. */
  leaseS: number;
  /** Within this time a cancelled job has to be gone. */
  cancelS: number;
  /** How long a gang task waits for the others before it gives up. */
  gangWaitS: number;
  /** Within this time the tasks of a running gang notice that one of them is gone. */
  gangPeerS: number;
  /** Limits of the state service for all controllers together. */
  stateRequestsPerS: number;
  stateWritesPerS: number;
  /** Size of a stored value, in KiB of JSON. */
  maxValueKb: number;
  /** Changes in one transaction. */
  maxTransactionOps: number;
  /** Limit of the cloud for all controllers together. */
  cloudCallsPerS: number;
  /** The cloud's list of machines may be older than now by this much. */
  listLagS: number;
  /** Sockets that this process may hold. */
  maxSockets: number;
}

/** Platforms without gangs may leave these out. */
const DEFAULT_GANG_WAIT_S = 30;
const DEFAULT_GANG_PEER_S = 6;

/** Throws `SettingsError` for a file that can't be used. */
export function readPlatformSettings(source: string): PlatformSettings {
  const root = parseToml(source);
  const outside = root.table('outside');
  const params = root.table('params');
  const workers = params.table('workers');
  const state = params.table('state');
  const nextState = state.has('next') ? state.table('next') : new SettingsTable({});
  const cloud = params.table('cloud');
  const machineLimits = params.table('machine_limits');
  return {
    node: root.text('node_name'),
    zone: root.text('location'),
    listenAddress: root.address('listen'),
    peerBindAddress: root.address('peer_bind'),
    peers: root.tables('others').map(readPeer),
    cloudAddress: outside.address('cloud'),
    stateAddress: outside.address('state'),
    controllerCount: params.number('nodes', 1),
    teams: params.tables('teams').map(readTeam),
    objectives: params.tables('objectives').map(readObjective),
    heartbeatIntervalS: workers.number('report_s', 0.01),
    leaseS: workers.number('lease_s', 0.1),
    cancelS: workers.number('cancel_s', 0.1),
    gangWaitS: workers.optionalNumber('gang_wait_s', 0, DEFAULT_GANG_WAIT_S),
    gangPeerS: workers.optionalNumber('gang_peer_s', 0, DEFAULT_GANG_PEER_S),
    stateRequestsPerS: stricterLimit(state, nextState, 'rps', 1),
    stateWritesPerS: stricterLimit(state, nextState, 'write_rps', 1),
    maxValueKb: stricterLimit(state, nextState, 'value_kb', 0.5),
    maxTransactionOps: stricterLimit(state, nextState, 'txn_ops', 2),
    cloudCallsPerS: cloud.number('rps', 0.1),
    listLagS: cloud.number('list_lag_s', 0),
    maxSockets: machineLimits.number('sockets', 1),
  };
}

function parseToml(source: string): SettingsTable {
  try {
    return new SettingsTable(parse(source));
  } catch (error) {
    throw new SettingsError(`not TOML: ${(error as Error).message.split('\n')[0]}`);
  }
}

/** Limits that will come do so without notice: whatever is written keeps to the stricter ones from the start. */
function stricterLimit(
  current: SettingsTable,
  next: SettingsTable,
  field: string,
  min: number,
): number {
  return Math.min(current.number(field, min), next.optionalNumber(field, min, Infinity));
}

function readPeer(table: SettingsTable): Peer {
  return {
    name: table.text('node_name'),
    zone: table.text('location'),
    address: table.address('peer_addr'),
  };
}

function readTeam(table: SettingsTable): Team {
  return {
    name: table.text('name'),
    cpus: table.number('cpus', 0),
    gpus: table.number('gpus', 0),
    cpusMax: zeroToInfinity(table.number('cpus_max', 0)),
    gpusMax: zeroToInfinity(table.number('gpus_max', 0)),
  };
}

/** In the file, 0 means that there is no limit. */
function zeroToInfinity(limit: number): number {
  return limit === 0 ? Infinity : limit;
}

function readObjective(table: SettingsTable): Objective {
  return {
    kind: table.text('kind'),
    jobClass: table.textOrNull('class'),
    withinS: table.numberOrNull('within_s'),
  };
}
