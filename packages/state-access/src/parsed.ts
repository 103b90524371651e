/** Validation of stored records against schemas, at the point where they are read. */
import * as z from 'zod/mini';

/** A record that matches its schema, or the first violation, with the path of the field. */
export type Parsed<T> = { kind: 'valid'; value: T } | { kind: 'invalid'; reason: string };

/** Validates a stored value against a schema. Never throws. */
export function parseRecord<T>(schema: z.ZodMiniType<T>, value: unknown): Parsed<T> {
  const result = schema.safeParse(value);
  if (result.success) return { kind: 'valid', value: result.data };
  const issue = result.error.issues[0];
  return { kind: 'invalid', reason: `${issue.path.join('.') || 'record'}: ${issue.message}` };
}
