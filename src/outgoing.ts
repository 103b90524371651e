import { Agent, type Dispatcher } from 'undici';
import type { Http, Reply } from './runtime.js';
import { type Body, decodeMap, encode } from './wire/cbor.js';

/** Outgoing HTTP: persistent connections, one request at a time on each (no pipelining). */
export function outgoing(): Http {
  const agent = new Agent({
    pipelining: 1,
    connections: 24,
    connectTimeout: 4000,
    keepAliveTimeout: 60_000,
    keepAliveMaxTimeout: 600_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    async send(to, method, path, body, timeoutMs): Promise<Reply> {
      const stop = new AbortController();
      const timer = setTimeout(() => stop.abort(), timeoutMs);
      try {
        const r = await agent.request({
          origin: `http://${to}`,
          path,
          method: method as Dispatcher.HttpMethod,
          body: body === null ? null : encode(body),
          headers: body === null ? {} : { 'content-type': 'application/cbor' },
          signal: stop.signal,
        });
        const bytes = new Uint8Array(await r.body.arrayBuffer());
        const decoded: Body | null = bytes.length === 0 ? {} : decodeMap(bytes);
        // A 200 that can't be read tells nothing: the request may have been executed.
        return { status: decoded === null && r.statusCode === 200 ? 0 : r.statusCode, body: decoded ?? {} };
      } catch {
        return { status: 0, body: {} };
      } finally {
        clearTimeout(timer);
      }
    },
  };
}
