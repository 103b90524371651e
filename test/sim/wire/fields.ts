/** Strict access to the fields of decoded bodies: throws for a missing or mistyped field instead of using a default. */
import { type Body, isMap, toNumber } from '../../../src/wire/cbor.js';

export function textField(body: Body, field: string): string {
  const value = body[field];
  if (typeof value !== 'string') throw malformed(body, field);
  return value;
}

export function integerField(body: Body, field: string): number {
  const value = toNumber(body[field]);
  if (value === undefined || !Number.isInteger(value)) throw malformed(body, field);
  return value;
}

export function numberField(body: Body, field: string): number {
  const value = body[field];
  if (typeof value !== 'number') throw malformed(body, field);
  return value;
}

export function booleanField(body: Body, field: string): boolean {
  const value = body[field];
  if (typeof value !== 'boolean') throw malformed(body, field);
  return value;
}

export function textListField(body: Body, field: string): string[] {
  const value = body[field];
  if (!Array.isArray(value) || !value.every((item) => typeof item === 'string'))
    throw malformed(body, field);
  return value;
}

/** Returns a list of maps; a missing field counts as an empty list. */
export function mapsField(body: Body, field: string): Body[] {
  const value = body[field] ?? [];
  if (!Array.isArray(value) || !value.every(isMap)) throw malformed(body, field);
  return value;
}

/** Returns the internal name of a value from its name on the wire. */
export function enumField<Name extends string>(
  body: Body,
  field: string,
  wireNames: Readonly<Record<Name, string>>,
): Name {
  for (const name of Object.keys(wireNames) as Name[])
    if (wireNames[name] === body[field]) return name;
  throw malformed(body, field);
}

function malformed(body: Body, field: string): Error {
  return new Error(`missing or malformed field ${field} in ${JSON.stringify(body, jsonValue)}`);
}

function jsonValue(_key: string, value: unknown): unknown {
  return typeof value === 'bigint' ? Number(value) : value;
}
