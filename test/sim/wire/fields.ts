/** Strict access to the fields of decoded bodies: what is missing or of another type is a fault, not a default. */
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

/** A list of maps; a field that is missing stands for an empty one. */
export function mapsField(body: Body, field: string): Body[] {
  const value = body[field] ?? [];
  if (!Array.isArray(value) || !value.every(isMap)) throw malformed(body, field);
  return value;
}

/** The inner word for a word of the wire. */
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
  return new Error(`field ${field} of ${JSON.stringify(body, jsonValue)}`);
}

function jsonValue(_key: string, value: unknown): unknown {
  return typeof value === 'bigint' ? Number(value) : value;
}
