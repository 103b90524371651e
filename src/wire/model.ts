/** The words used inside; `messages.ts` turns them into the wire's and back. */
/** gang: an array whose tasks run all at the same time or not at all. */
export type JobKind = 'array' | 'service' | 'gang';
/** 0 is the most urgent: production, high, normal, idle. */
export type Priority = 0 | 1 | 2 | 3;

export const MAX_TASKS = 100_000;

export interface JobSpec {
  id: string;
  cls: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

export type JobState = 'pending' | 'running' | 'done' | 'cancelled';

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** peer_lost: the gang lost another task. incomplete: it did not come together in time. */
export type ExitCause =
  'done' | 'stopped' | 'peer_lost' | 'incomplete' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskStatus {
  job: string;
  taskNumber: number;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
}

export interface Heartbeat {
  machine: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  incarnation: number;
  sequence: number;
  token: number;
  preemptionNoticeS: number | null;
  tasks: TaskStatus[];
}

export type WorkerCommand =
  | { op: 'start'; job: string; taskNumber: number; attempt: number }
  | { op: 'stop'; job: string; taskNumber: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; taskNumber: number; attempt: number };

export type ListedState = 'booting' | 'running' | 'failed';
export interface ListedMachine {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  state: ListedState;
  ageS: number;
}
