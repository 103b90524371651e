/** The network between the simulated hosts, with injected faults. */
import type { HttpResponse } from '../../src/runtime.js';
import { type Body, decodeMap, encode } from '../../src/wire/cbor.js';
import type { VirtualClock } from './clock.js';
import type { SeededRandom } from './random.js';

/** Handles a request; `from` is the host that sent it. */
export type Handler = (
  method: string,
  path: string,
  body: Body,
  from: string,
) => Promise<HttpResponse> | HttpResponse;

/** A host of the network. */
export interface Host {
  /** Handles requests; null while the host is down. */
  handler: Handler | null;
  /** Virtual time until which the host hangs and requests wait. */
  hangsUntil: number;
}

/** Hosts `a` and `b` that can't reach each other until a given virtual time: messages are held until then, or reset. */
export interface Partition {
  a: (host: string) => boolean;
  b: (host: string) => boolean;
  until: number;
  mode: 'hold' | 'reset';
  /** Blocks only messages from `a` to `b`; those from `b` to `a` arrive. */
  oneWay?: boolean;
  /** Blocks only requests from `a` to `b`: responses from `a` arrive, and so does everything from `b`. */
  requestsOnly?: boolean;
  /** Blocks only messages sent before this virtual time, as when the connection that is held up gets replaced. */
  sentBefore?: number;
}

function blocksForward(
  { a, b, requestsOnly }: Partition,
  from: string,
  to: string,
  isResponse: boolean,
): boolean {
  return a(from) && b(to) && !(requestsOnly && isResponse);
}

function blocksBackward(
  { a, b, oneWay, requestsOnly }: Partition,
  from: string,
  to: string,
): boolean {
  return !oneWay && !requestsOnly && a(to) && b(from);
}

/** Duplicates of the requests to a path: their probability, maximum delay in milliseconds and recipient. */
export interface Duplication {
  path: string;
  chance: number;
  upToMs: number;
  /** Returns the recipient of a duplicate, given that of the request. */
  to: (recipient: string) => string;
}

/** A request as its sender sent it. */
export interface ObservedRequest {
  from: string;
  to: string;
  method: string;
  path: string;
  /** As encoded for the wire; empty for a request without a body. */
  body: Uint8Array;
}

interface ObservedResponse {
  /** The host that responds. */
  from: string;
  /** The host that sent the request. */
  to: string;
  path: string;
  status: number;
  /** As encoded for the wire. */
  body: Uint8Array;
}

/** Receives the traffic as it is sent, whether or not it arrives. Must not change anything. */
export interface NetworkObserver {
  requested(request: ObservedRequest): void;
  responded(response: ObservedResponse): void;
}

/** A request in transit. */
interface Message {
  from: string;
  to: string;
  method: string;
  path: string;
  body: Body;
}

/** Delays, loses and duplicates requests at random, and holds or resets messages that partitions block. */
export class Network {
  readonly hosts = new Map<string, Host>();
  partitions: Partition[] = [];
  /** Probability that a message is lost. */
  lossRate = 0.002;
  /** Probability that a duplicate of a POST request is delivered, 50 ms to 15 s after the request. */
  repeatRate = 0.003;
  /** Further duplicates, of requests to one path only. */
  duplicates: Duplication | null = null;
  /** Factor by which all delays are longer than usual. */
  delayFactor = 1;
  observer: NetworkObserver | null = null;

  constructor(
    readonly clock: VirtualClock,
    private readonly random: SeededRandom,
  ) {}

  private partitionBetween(from: string, to: string, isResponse: boolean): Partition | undefined {
    const now = this.clock.time;
    return this.partitions.find(
      (partition) =>
        partition.until > now &&
        now < (partition.sentBefore ?? Infinity) &&
        (blocksForward(partition, from, to, isResponse) || blocksBackward(partition, from, to)),
    );
  }

  private delay(): number {
    return (
      this.delayFactor *
      (this.random.chance(0.01) ? this.random.between(5, 300) : this.random.between(0.2, 4))
    );
  }

  /** Sends one message: `onArrival` runs if and when it arrives, `onReset` if the sender sees a connection reset. */
  private transmit(
    from: string,
    to: string,
    onArrival: () => void,
    onReset: () => void,
    isResponse = false,
  ): void {
    const partition = this.partitionBetween(from, to, isResponse);
    if (partition?.mode === 'reset') {
      this.clock.after(this.delay(), onReset);
    } else if (partition) {
      this.clock.after(partition.until - this.clock.time + this.delay(), onArrival);
    } else if (!this.random.chance(this.lossRate)) {
      this.clock.after(this.delay(), onArrival);
    }
  }

  private async deliver({ from, to, method, path, body }: Message): Promise<HttpResponse | null> {
    const host = this.hosts.get(to);
    if (!host?.handler) return null;
    if (host.hangsUntil > this.clock.time)
      await new Promise<void>((done) => this.clock.after(host.hangsUntil - this.clock.time, done));
    return host.handler ? host.handler(method, path, body, from) : null;
  }

  /** Delivers a duplicate of a request, whose response is shown to the observer and then dropped. */
  private async deliverDuplicate(message: Message): Promise<void> {
    const response = await this.deliver(message);
    if (!response || !this.observer) return;
    const { from, to, path } = message;
    this.observer.responded({ ...response, from: to, to: from, path, body: encode(response.body) });
  }

  /** Delivers a copy of an earlier request now, or once its recipient no longer hangs. Returns the status, 0 if none. */
  async deliverCopy({ from, to, method, path, body }: ObservedRequest): Promise<number> {
    const response = await this.deliver({ from, to, method, path, body: decodeMap(body)! });
    return response?.status ?? 0;
  }

  /** Sends a message without a response, as between controllers; delayed, held or lost like all messages. */
  sendOneWay(from: string, to: string, onArrival: () => void): void {
    this.transmit(from, to, onArrival, () => undefined);
  }

  /** Sends a request. Never rejects: a status of 0 means that there was no response. */
  send(
    from: string,
    to: string,
    method: string,
    path: string,
    body: Body | null,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    // Encoded and decoded, so that the receiver gets only what the wire format can represent.
    const bytes = body === null ? new Uint8Array() : encode(body);
    const sent = body === null ? {} : decodeMap(bytes)!;
    this.observer?.requested({ from, to, method, path, body: bytes });
    const message: Message = { from, to, method, path, body: sent };
    return new Promise((resolve) => {
      let open = true;
      const settle = (response: HttpResponse): void => {
        if (open) resolve(response);
        open = false;
      };
      const settleWithoutResponse = (): void => {
        settle({ status: 0, body: {} });
      };
      this.clock.after(timeoutMs, settleWithoutResponse);
      const onArrival = (): void => {
        void this.deliver(message).then((response) => {
          if (response) this.transmitResponse(message, response, settle, settleWithoutResponse);
          else this.clock.after(1, settleWithoutResponse);
        });
      };
      this.transmit(from, to, onArrival, settleWithoutResponse);
      this.scheduleDuplicates(message);
    });
  }

  private transmitResponse(
    { from, to, path }: Message,
    { status, body }: HttpResponse,
    onArrival: (response: HttpResponse) => void,
    onReset: () => void,
  ): void {
    const bytes = encode(body);
    const received = decodeMap(bytes)!;
    this.observer?.responded({ from: to, to: from, path, status, body: bytes });
    const settle = (): void => {
      onArrival({ status, body: received });
    };
    this.transmit(to, from, settle, onReset, true);
  }

  private scheduleDuplicates(message: Message): void {
    if (this.duplicates?.path === message.path && this.random.chance(this.duplicates.chance)) {
      const to = this.duplicates.to(message.to);
      this.clock.after(
        this.random.between(500, this.duplicates.upToMs),
        () => void this.deliverDuplicate({ ...message, to }),
      );
    }
    if (message.method === 'POST' && this.random.chance(this.repeatRate))
      this.clock.after(this.random.between(50, 15_000), () => void this.deliverDuplicate(message));
  }
}
