/** Checks of stored records by schemas, where they enter. */
import * as z from 'zod/mini';

export type Parsed<T> = { kind: 'valid'; value: T } | { kind: 'invalid'; reason: string };

export function parseRecord<T>(schema: z.ZodMiniType<T>, value: unknown): Parsed<T> {
  const result = schema.safeParse(value);
  if (result.success) return { kind: 'valid', value: result.data };
  const issue = result.error.issues[0];
  return { kind: 'invalid', reason: `${issue.path.join('.') || 'record'}: ${issue.message}` };
}
