import type { Reply } from '../../src/runtime.js';
import { type Body, decodeMap, encode } from '../../src/wire/cbor.js';
import type { VirtualClock } from './clock.js';
import type { SeededRandom } from './random.js';

export type Handler = (
  method: string,
  path: string,
  body: Body,
  from: string,
) => Promise<Reply> | Reply;

export interface Host {
  /** Answers requests, or null while it is down. */
  handler: Handler | null;
  /** Hanging: requests wait until then. */
  hangsUntil: number;
}

export interface Cut {
  a: (host: string) => boolean;
  b: (host: string) => boolean;
  until: number;
  mode: 'hold' | 'reset';
  /** Only what goes from `a` to `b` is cut; the other way works. */
  oneWay?: boolean;
  /** Only connections from `a` to `b` can't be opened: what `b` asks is answered. */
  opensOnly?: boolean;
}

/** Late copies of requests: how likely, how late at most, and where else they may turn up. */
export interface Copies {
  path: string;
  chance: number;
  upToMs: number;
  to: () => string;
}

export interface ObservedRequest {
  from: string;
  to: string;
  method: string;
  path: string;
  /** As encoded for the wire; empty for a request without a body. */
  body: Uint8Array;
}

export interface ObservedReply {
  /** Who replies. */
  from: string;
  /** Who had asked. */
  to: string;
  path: string;
  status: number;
  /** As encoded for the wire. */
  body: Uint8Array;
}

/** Is shown the traffic as it is sent, whether or not it arrives. Must not change anything. */
export interface NetworkObserver {
  requested(request: ObservedRequest): void;
  replied(reply: ObservedReply): void;
}

/** Requests are delayed, lost, held by cuts and delivered late, and now and then repeated. */
export class Network {
  readonly hosts = new Map<string, Host>();
  cuts: Cut[] = [];
  lossy = 0.002;
  repeats = 0.003;
  copies: Copies | null = null;
  /** How much longer everything takes. */
  slow = 1;
  observer: NetworkObserver | null = null;

  constructor(
    readonly clock: VirtualClock,
    private readonly random: SeededRandom,
  ) {}

  private cut(a: string, b: string, answer: boolean): Cut | undefined {
    const now = this.clock.time;
    return this.cuts.find(
      (c) =>
        c.until > now &&
        ((c.a(a) && c.b(b) && !(c.opensOnly && answer)) ||
          (!c.oneWay && !c.opensOnly && c.a(b) && c.b(a))),
    );
  }

  private delay(): number {
    return (
      this.slow *
      (this.random.chance(0.01) ? this.random.between(5, 300) : this.random.between(0.2, 4))
    );
  }

  /** One way: `arrive` runs when (if) the message gets there, `broken` when the sender sees a reset. */
  private carry(
    from: string,
    to: string,
    arrive: () => void,
    broken: () => void,
    answer = false,
  ): void {
    const cut = this.cut(from, to, answer);
    if (cut?.mode === 'reset') {
      this.clock.after(this.delay(), broken);
    } else if (cut) {
      this.clock.after(cut.until - this.clock.time + this.delay(), arrive);
    } else if (!this.random.chance(this.lossy)) {
      this.clock.after(this.delay(), arrive);
    }
  }

  private async deliver(
    from: string,
    to: string,
    method: string,
    path: string,
    body: Body,
  ): Promise<Reply | null> {
    const host = this.hosts.get(to);
    if (!host?.handler) return null;
    if (host.hangsUntil > this.clock.time)
      await new Promise<void>((done) => this.clock.after(host.hangsUntil - this.clock.time, done));
    return host.handler ? host.handler(method, path, body, from) : null;
  }

  /** A request that comes once more: nobody waits for its reply. */
  private async deliverCopy(
    from: string,
    to: string,
    method: string,
    path: string,
    body: Body,
  ): Promise<void> {
    const reply = await this.deliver(from, to, method, path, body);
    if (reply && this.observer)
      this.observer.replied({ ...reply, from: to, to: from, path, body: encode(reply.body) });
  }

  /** A message without an answer, as between controllers: delayed, held or lost like the rest. */
  tell(from: string, to: string, arrive: () => void): void {
    this.carry(from, to, arrive, () => undefined);
  }

  send(
    from: string,
    to: string,
    method: string,
    path: string,
    body: Body | null,
    timeoutMs: number,
  ): Promise<Reply> {
    // Through the codec, so that what is sent is what the wire can carry.
    const bytes = body === null ? new Uint8Array() : encode(body);
    const sent = body === null ? {} : decodeMap(bytes)!;
    this.observer?.requested({ from, to, method, path, body: bytes });
    return new Promise((resolve) => {
      let open = true;
      const settle = (reply: Reply): void => {
        if (open) resolve(reply);
        open = false;
      };
      const none = (): void => {
        settle({ status: 0, body: {} });
      };
      this.clock.after(timeoutMs, none);
      const arrive = (): void => {
        void this.deliver(from, to, method, path, sent).then((reply) => {
          if (!reply) {
            this.clock.after(1, none);
            return;
          }
          const replyBytes = encode(reply.body);
          const back = decodeMap(replyBytes)!;
          this.observer?.replied({
            from: to,
            to: from,
            path,
            status: reply.status,
            body: replyBytes,
          });
          this.carry(
            to,
            from,
            () => {
              settle({ status: reply.status, body: back });
            },
            none,
            true,
          );
        });
      };
      this.carry(from, to, arrive, none);
      if (this.copies?.path === path && this.random.chance(this.copies.chance)) {
        const copyTo = this.copies.to();
        this.clock.after(
          this.random.between(500, this.copies.upToMs),
          () => void this.deliverCopy(from, copyTo, method, path, sent),
        );
      }
      if (method === 'POST' && this.random.chance(this.repeats))
        this.clock.after(
          this.random.between(50, 15_000),
          () => void this.deliverCopy(from, to, method, path, sent),
        );
    });
  }
}
