/** The types that the rest of the program uses. The other modules of this folder convert them to and from bodies. */

/**
 * What the tasks of a job are. `array`: independent tasks, each of which runs to completion. `service`: replicas
 * without an expected end. `gang`: an array whose tasks run either all at the same time or not at all.
 */
export type JobKind = 'array' | 'service' | 'gang';
/** From the most to the least urgent: production (0), high (1), normal (2), idle (3). */
export type Priority = 0 | 1 | 2 | 3;

/** Maximum number of tasks of a job. */
export const MAX_TASKS = 100_000;

/** A job as submitted by its user. It is stored unchanged, so its field names are those of stored records. */
export interface JobSpec {
  id: string;
  /** Class of the job; run times are learned per class. */
  cls: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  /** Per task, like `gpus` and `memoryGb`. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Machine types that the tasks may run on; null for any type that they fit. */
  types: string[] | null;
  /** The zone that all tasks must run in; null for any zone. */
  zone: string | null;
  /** Whether all tasks must run in the same zone, which may be any. */
  oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may run in one zone. */
  spread: boolean;
  /** Whether the tasks may run on spot machines. */
  spot: boolean;
  /** Run time of a task in seconds, as estimated by the user. */
  estimateS: number;
  /** Seconds between two checkpoints of a task; 0 if it makes none. */
  checkpointS: number;
  /** Seconds that a task takes to save its state when it is stopped. */
  saveS: number;
  /** Seconds from the acceptance within which the job should be done; null if it has no deadline. */
  deadlineS: number | null;
}

/** A job's state as reported to its user. */
export type JobState = 'pending' | 'running' | 'done' | 'cancelled';

/** A machine type of the cloud's catalog. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Rate at which images are fetched, in GB per second. */
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  /** Seconds that a machine of this type takes to boot. */
  bootS: number;
  /** Zones in which machines of this type can be rented. */
  zones: string[];
}

/** A task's state on its worker. A task of a gang is `waiting` until all tasks of the gang are ready. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/**
 * Why a task exited.
 *
 * - `done`: it completed successfully.
 * - `stopped`: it was stopped before it completed.
 * - `peer_lost`: another task of its gang was lost.
 * - `incomplete`: the tasks of its gang were not all ready in time.
 * - `error`: it failed; also stands for a cause that this build doesn't know.
 * - `no_room`: the worker rejected its start because too few resources were free.
 * - `busy`: the worker rejected its start because it already had an attempt of the same task.
 * - `unknown`: the worker rejected its start because it did not know the task.
 */
export type ExitCause =
  'done' | 'stopped' | 'peer_lost' | 'incomplete' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One task attempt as its worker reports it. */
export interface TaskStatus {
  job: string;
  taskNumber: number;
  attempt: number;
  state: TaskState;
  /** Null unless the task has exited. */
  cause: ExitCause | null;
}

/** A worker's report on itself and on all its task attempts. */
export interface Heartbeat {
  machine: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Increases when the worker has killed and forgotten all its tasks, for example after its lease expired. */
  incarnation: number;
  /** Increases with each report of an incarnation. */
  sequence: number;
  /** The highest fencing token that the worker has seen. */
  token: number;
  /** Seconds until the cloud preempts the spot machine; null if no preemption notice was given. */
  preemptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** A command to a worker for one task attempt. `forget`: the worker no longer reports the attempt, which has exited. */
export type WorkerCommand =
  | { op: 'start'; job: string; taskNumber: number; attempt: number }
  | { op: 'stop'; job: string; taskNumber: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; taskNumber: number; attempt: number };

/** A machine's state in the cloud's machine list. */
export type ListedState = 'booting' | 'running' | 'failed';

/** An entry of the cloud's machine list. */
export interface ListedMachine {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  state: ListedState;
  /** Seconds since the machine was rented. */
  ageS: number;
}
