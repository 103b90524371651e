/** Checks of stored records by schemas, where they enter. */
import * as z from 'zod/mini';

/** A record that fits its schema, or the first reason why it doesn't, with the path of the field. */
export type Parsed<T> = { kind: 'valid'; value: T } | { kind: 'invalid'; reason: string };

/** Checks a stored value by a schema. Never throws. */
export function parseRecord<T>(schema: z.ZodMiniType<T>, value: unknown): Parsed<T> {
  const result = schema.safeParse(value);
  if (result.success) return { kind: 'valid', value: result.data };
  const issue = result.error.issues[0];
  return { kind: 'invalid', reason: `${issue.path.join('.') || 'record'}: ${issue.message}` };
}
