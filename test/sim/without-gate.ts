import type { Reply } from '../../src/runtime.js';
import type { Body } from '../../src/wire/cbor.js';

/**
 * What a build from before levels sees of the state service: it never asks for the rollout's records, and takes a
 * record of finished tasks that is no text for one that tells of no task.
 */
export function withoutGate(path: string, reply: Reply): Reply {
  if (path.startsWith('/kv/rollout/')) return { status: 404, body: { ledger_mark: 1 } };
  if (!path.startsWith('/kv?starts=d/') || !Array.isArray(reply.body.pairs)) return reply;
  const pairs = (reply.body.pairs as Body[]).map((pair) =>
    typeof pair.data === 'string' ? pair : { ...pair, data: '' },
  );
  return { ...reply, body: { ...reply.body, pairs } };
}
