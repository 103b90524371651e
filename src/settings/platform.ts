/** Reads the settings file that the platform hands over (TOML). */
import { parse } from 'smol-toml';
import { SettingsError, SettingsTable } from './settings-table.js';

/** A team and its quota. */
export interface Team {
  name: string;
  /** Guaranteed CPUs; `gpus` are guaranteed GPUs. */
  cpus: number;
  gpus: number;
  /** Maximum number of CPUs that the team may use, infinite without a limit; `gpusMax` is the same for GPUs. */
  cpusMax: number;
  gpusMax: number;
}

/** An objective that the platform sets for this program. */
export interface Objective {
  /**
   * What the objective concerns. `finished`: jobs of a class finish within `withinS` seconds. `price`, `useful`: cost
   * matters (see `cost-policy.ts`). All other kinds are ignored.
   */
  kind: string;
  /** Class of the jobs that the objective concerns; null if it names none. */
  jobClass: string | null;
  /** Time in seconds after submission within which such jobs should finish; null if the objective names none. */
  withinS: number | null;
}

/** Another controller. */
export interface Peer {
  name: string;
  zone: string;
  address: string;
}

/** The settings that the platform hands over. Unknown fields of the file are ignored, since new ones may be added. */
export interface PlatformSettings {
  /** Name of this controller. */
  node: string;
  /** The zone of this controller. */
  zone: string;
  /** Address to listen on for users, workers and health checks. All addresses have the form `HOST:PORT`. */
  listenAddress: string;
  /** Address to listen on for messages of the other controllers. */
  peerBindAddress: string;
  /** The other controllers. */
  peers: Peer[];
  cloudAddress: string;
  stateAddress: string;
  /** Number of controllers that share the request limits. */
  controllerCount: number;
  teams: Team[];
  objectives: Objective[];
  /** Seconds between two heartbeats of a worker. */
  heartbeatIntervalS: number;
  /** Duration of a worker's lease in seconds. */
  leaseS: number;
  /** Time in seconds after a cancellation within which all tasks of the job must have exited. */
  cancelS: number;
  /** Seconds for which a task of a gang waits for the other tasks before it gives up. */
  gangWaitS: number;
  /** Time in seconds within which the tasks of a running gang detect the loss of one of them. */
  gangPeerS: number;
  /** Limits of the state service on requests and on writes per second, for all controllers together. */
  stateRequestsPerS: number;
  stateWritesPerS: number;
  /** Maximum size of a stored value, in KiB of JSON. */
  maxValueKb: number;
  /** Maximum number of changes in a transaction. */
  maxTransactionOps: number;
  /** Limit of the cloud on requests per second, for all controllers together. */
  cloudCallsPerS: number;
  /** Maximum age of the cloud's list of machines in seconds. */
  listLagS: number;
  /** Maximum number of sockets that this process may hold. */
  maxSockets: number;
}

/** Defaults for settings that platforms without gangs may omit. */
const DEFAULT_GANG_WAIT_S = 30;
const DEFAULT_GANG_PEER_S = 6;

/** Reads the settings. Throws `SettingsError` if the file is invalid. */
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
    node: root.string('node_name'),
    zone: root.string('location'),
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

/**
 * Returns the stricter of the current limit and the one in the table `next`. A next limit takes effect without notice,
 * so everything written must respect the stricter limit from the start.
 */
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
    name: table.string('node_name'),
    zone: table.string('location'),
    address: table.address('peer_addr'),
  };
}

function readTeam(table: SettingsTable): Team {
  return {
    name: table.string('name'),
    cpus: table.number('cpus', 0),
    gpus: table.number('gpus', 0),
    cpusMax: zeroToInfinity(table.number('cpus_max', 0)),
    gpusMax: zeroToInfinity(table.number('gpus_max', 0)),
  };
}

/** Converts a limit of the file, where 0 stands for no limit. */
function zeroToInfinity(limit: number): number {
  return limit === 0 ? Infinity : limit;
}

function readObjective(table: SettingsTable): Objective {
  return {
    kind: table.string('kind'),
    jobClass: table.stringOrNull('class'),
    withinS: table.numberOrNull('within_s'),
  };
}
