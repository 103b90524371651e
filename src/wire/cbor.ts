/** CBOR bodies: encoding, decoding and the integers that don't fit into 32 bits. */
import { Encoder } from 'cbor-x';

const codec = new Encoder({ useRecords: false, variableMapSize: true, mapsAsObjects: true });

export type Body = Record<string, unknown>;

/** Integers above 32 bits would otherwise be written as floats, which the outside takes for amounts. */
export function wide(n: number): number | bigint {
  return n > 0xffffffff ? BigInt(n) : n;
}

/** The inverse: 64-bit integers are read as bigint; every count we deal in is below 2^53. */
export function narrow(v: unknown): number | undefined {
  if (typeof v === 'number') return v;
  if (typeof v === 'bigint' && v >= 0n && v <= BigInt(Number.MAX_SAFE_INTEGER)) return Number(v);
  return undefined;
}

export function encode(body: unknown): Buffer {
  return codec.encode(body);
}

/** Null unless the bytes are exactly one map. */
export function decodeMap(bytes: Uint8Array): Body | null {
  try {
    const v: unknown = codec.decode(bytes);
    return isMap(v) ? v : null;
  } catch {
    return null;
  }
}

export function isMap(v: unknown): v is Body {
  return (
    typeof v === 'object' &&
    v !== null &&
    !Array.isArray(v) &&
    !(v instanceof Uint8Array) &&
    !(v instanceof Date)
  );
}
