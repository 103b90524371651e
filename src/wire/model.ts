/** The types used inside; the readers and writers in this folder turn them into the wire's words and back. */

/** `gang`: an array whose tasks run all at the same time or not at all. */
export type JobKind = 'array' | 'service' | 'gang';
/** 0 is the most urgent: production, high, normal, idle. */
export type Priority = 0 | 1 | 2 | 3;

/** The most tasks that one job may have. */
export const MAX_TASKS = 100_000;

/** A job as its user asked for it. It is stored as it stands, so that its fields are those of stored records. */
export interface JobSpec {
  id: string;
  /** The job's class, by which run times are learned. */
  cls: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  /** Of one task, as are `gpus` and `memoryGb`. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Machine types that its tasks may run on; null: any that they fit. */
  types: string[] | null;
  /** The zone that all tasks must be in; null: any. */
  zone: string | null;
  /** All tasks run in one zone, whichever it is. */
  oneZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  spread: boolean;
  /** Its tasks may run on spot machines. */
  spot: boolean;
  /** How long a task runs, as its user expects. */
  estimateS: number;
  /** Time between two checkpoints of a task; 0: it makes none. */
  checkpointS: number;
  /** How long a task takes to save its state when it is stopped. */
  saveS: number;
  /** Time from the acceptance within which the job should be done; null: none. */
  deadlineS: number | null;
}

/** A job's state as its user is told. */
export type JobState = 'pending' | 'running' | 'done' | 'cancelled';

/** A machine type of the cloud's catalog. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** How fast images are fetched. */
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  /** Zones in which it can be rented. */
  zones: string[];
}

/** A task's state on its worker. `waiting`: of a gang, until all its tasks are ready. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task exited. `peer_lost`: the gang lost another task. `incomplete`: it did not come together in time. */
export type ExitCause =
  'done' | 'stopped' | 'peer_lost' | 'incomplete' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One task attempt as its worker reports it. */
export interface TaskStatus {
  job: string;
  taskNumber: number;
  attempt: number;
  state: TaskState;
  /** Null unless it has exited. */
  cause: ExitCause | null;
}

/** A worker's report of itself and of all that is on it. */
export interface Heartbeat {
  machine: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Grows when the worker has killed and forgotten everything, as when its lease ran out. */
  incarnation: number;
  /** Grows with each report of an incarnation. */
  sequence: number;
  /** The highest fencing token that the worker has seen. */
  token: number;
  /** Seconds until the cloud takes a spot machine back; null: no notice was given. */
  preemptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** What a worker is told to do with one task attempt. `forget`: to report an exited one no longer. */
export type WorkerCommand =
  | { op: 'start'; job: string; taskNumber: number; attempt: number }
  | { op: 'stop'; job: string; taskNumber: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; taskNumber: number; attempt: number };

/** A machine's state in the cloud's list. */
export type ListedState = 'booting' | 'running' | 'failed';

/** A machine as the cloud lists it. */
export interface ListedMachine {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  state: ListedState;
  /** Seconds since it was rented. */
  ageS: number;
}
