/** How jobs are kept in the state service. Live and ended records never stand together: one transaction moves them. */
import { isMap } from '../wire/cbor.js';
import type { JobSpec } from '../wire/model.js';

export const LIVE = 'j/';
export const ENDED = 'e/';
export const FINISHED = 'd/';

/** Tasks per record of finished task numbers: small enough for the least value size that settings allow. */
export const CHUNK = 8192;

export interface LiveRecord {
  spec: JobSpec;
  /** Time of day of the acceptance, milliseconds. */
  at: number;
  cancelled: boolean;
}

export type EndedRecord = { state: 'done' | 'cancelled'; tasks: number };

export const liveKey = (id: string): string => LIVE + id;
export const endedKey = (id: string): string => ENDED + id;
export const finishedKey = (id: string, chunk: number): string => `${FINISHED}${id}/${chunk}`;

export function readLive(v: unknown): LiveRecord | null {
  if (!isMap(v) || !isMap(v.spec) || typeof v.at !== 'number') return null;
  return { spec: v.spec as unknown as JobSpec, at: v.at, cancelled: v.cancelled === true };
}

export function readEnded(v: unknown): EndedRecord | null {
  if (!isMap(v) || (v.state !== 'done' && v.state !== 'cancelled') || typeof v.tasks !== 'number')
    return null;
  return { state: v.state, tasks: v.tasks };
}

/** One bit a task, as text, since no body holds anything binary. */
export function packFinished(bits: Uint8Array, chunk: number): string {
  return Buffer.from(bits.subarray((chunk * CHUNK) / 8, ((chunk + 1) * CHUNK) / 8)).toString('base64');
}

export function unpackFinished(text: unknown): Uint8Array {
  return typeof text === 'string' ? Buffer.from(text, 'base64') : new Uint8Array();
}
