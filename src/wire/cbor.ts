/** Encoding and decoding of CBOR bodies, and conversion of integers that don't fit into 32 bits. */
import { Encoder } from 'cbor-x';

const codec = new Encoder({ useRecords: false, variableMapSize: true, mapsAsObjects: true });

const MAX_UINT32 = 0xffffffff;

/** The body of a request or response: a map with string keys. */
export type Body = Record<string, unknown>;

/**
 * Converts integers above 32 bits to bigint. Otherwise they would be encoded as floating-point numbers, which the other
 * services treat as quantities, such as CPUs or seconds, and not as integers, such as versions or tokens.
 */
export function toWireInteger(value: number): number | bigint {
  return value > MAX_UINT32 ? BigInt(value) : value;
}

/**
 * Converts a received number: 64-bit integers are decoded as bigint, but all counts in use are below 2^53. Returns
 * undefined for anything else.
 */
export function toNumber(value: unknown): number | undefined {
  if (typeof value === 'number') return value;
  if (typeof value === 'bigint' && value >= 0n && value <= BigInt(Number.MAX_SAFE_INTEGER))
    return Number(value);
  return undefined;
}

/** Encodes a body as CBOR. */
export function encode(body: unknown): Buffer {
  return codec.encode(body);
}

/** Decodes a body. Returns null unless the bytes are exactly one map. */
export function decodeMap(bytes: Uint8Array): Body | null {
  try {
    const decoded: unknown = codec.decode(bytes);
    return isMap(decoded) ? decoded : null;
  } catch {
    return null;
  }
}

/** Whether a decoded value is a map and not another kind of JavaScript object. */
export function isMap(value: unknown): value is Body {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array) &&
    !(value instanceof Date)
  );
}
