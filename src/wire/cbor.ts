/** CBOR bodies: encoding, decoding and the integers that don't fit into 32 bits. */
import { Encoder } from 'cbor-x';

const codec = new Encoder({ useRecords: false, variableMapSize: true, mapsAsObjects: true });

const MAX_UINT32 = 0xffffffff;

/** The body of a request or response: a map with text keys. */
export type Body = Record<string, unknown>;

/** Integers above 32 bits would otherwise be written as floats, which the outside takes for amounts. */
export function toWireInteger(value: number): number | bigint {
  return value > MAX_UINT32 ? BigInt(value) : value;
}

/**
 * A number as it was received. 64-bit integers are read as bigint; every count we deal in is below 2^53.
 * Undefined for anything else.
 */
export function toNumber(value: unknown): number | undefined {
  if (typeof value === 'number') return value;
  if (typeof value === 'bigint' && value >= 0n && value <= BigInt(Number.MAX_SAFE_INTEGER))
    return Number(value);
  return undefined;
}

/** The bytes of a body. */
export function encode(body: unknown): Buffer {
  return codec.encode(body);
}

/** Null unless the bytes are exactly one map. */
export function decodeMap(bytes: Uint8Array): Body | null {
  try {
    const decoded: unknown = codec.decode(bytes);
    return isMap(decoded) ? decoded : null;
  } catch {
    return null;
  }
}

/** A decoded map, as opposed to the other values that are objects in JavaScript. */
export function isMap(value: unknown): value is Body {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array) &&
    !(value instanceof Date)
  );
}
