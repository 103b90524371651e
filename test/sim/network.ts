/** The network between the simulated hosts, with its faults. */
import type { HttpResponse } from '../../src/runtime.js';
import { type Body, decodeMap, encode } from '../../src/wire/cbor.js';
import type { VirtualClock } from './clock.js';
import type { SeededRandom } from './random.js';

/** Answers a request; `from` is the host that sent it. */
export type Handler = (
  method: string,
  path: string,
  body: Body,
  from: string,
) => Promise<HttpResponse> | HttpResponse;

/** A host of the network. */
export interface Host {
  /** Answers requests, or null while it is down. */
  handler: Handler | null;
  /** Hanging: requests wait until then. */
  hangsUntil: number;
}

/** Hosts that can't reach each other, until a time. */
export interface Partition {
  a: (host: string) => boolean;
  b: (host: string) => boolean;
  until: number;
  mode: 'hold' | 'reset';
  /** Only what goes from `a` to `b` is cut; the other way works. */
  oneWay?: boolean;
  /** Only connections from `a` to `b` can't be opened: what `b` asks is answered. */
  connectionsOnly?: boolean;
}

function blocksForward(
  { a, b, connectionsOnly }: Partition,
  from: string,
  to: string,
  isResponse: boolean,
): boolean {
  return a(from) && b(to) && !(connectionsOnly && isResponse);
}

function blocksBackward(
  { a, b, oneWay, connectionsOnly }: Partition,
  from: string,
  to: string,
): boolean {
  return !oneWay && !connectionsOnly && a(to) && b(from);
}

/** Late duplicates of requests: how likely, how late at most, and where else they may turn up. */
export interface Duplication {
  path: string;
  chance: number;
  upToMs: number;
  to: () => string;
}

interface ObservedRequest {
  from: string;
  to: string;
  method: string;
  path: string;
  /** As encoded for the wire; empty for a request without a body. */
  body: Uint8Array;
}

interface ObservedResponse {
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
  responded(response: ObservedResponse): void;
}

/** A request as it travels. */
interface Message {
  from: string;
  to: string;
  method: string;
  path: string;
  body: Body;
}

/** Requests are delayed, lost, held by partitions and delivered late, and now and then repeated. */
export class Network {
  readonly hosts = new Map<string, Host>();
  partitions: Partition[] = [];
  /** How likely a message is lost. */
  lossRate = 0.002;
  /** How likely a request comes once more. */
  repeatRate = 0.003;
  duplicates: Duplication | null = null;
  /** How much longer everything takes. */
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
        (blocksForward(partition, from, to, isResponse) || blocksBackward(partition, from, to)),
    );
  }

  private delay(): number {
    return (
      this.delayFactor *
      (this.random.chance(0.01) ? this.random.between(5, 300) : this.random.between(0.2, 4))
    );
  }

  /** One way: `arrive` runs when (if) the message gets there, `broken` when the sender sees a reset. */
  private carry(
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

  /** A request that comes once more: nobody waits for its reply. */
  private async deliverDuplicate(message: Message): Promise<void> {
    const response = await this.deliver(message);
    if (!response || !this.observer) return;
    const { from, to, path } = message;
    this.observer.responded({ ...response, from: to, to: from, path, body: encode(response.body) });
  }

  /** A message without an answer, as between controllers: delayed, held or lost like the rest. */
  sendOneWay(from: string, to: string, onArrival: () => void): void {
    this.carry(from, to, onArrival, () => undefined);
  }

  send(
    from: string,
    to: string,
    method: string,
    path: string,
    body: Body | null,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    // Through the codec, so that what is sent is what the wire can carry.
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
          if (response) this.carryResponse(message, response, settle, settleWithoutResponse);
          else this.clock.after(1, settleWithoutResponse);
        });
      };
      this.carry(from, to, onArrival, settleWithoutResponse);
      this.scheduleDuplicates(message);
    });
  }

  private carryResponse(
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
    this.carry(to, from, settle, onReset, true);
  }

  private scheduleDuplicates(message: Message): void {
    if (this.duplicates?.path === message.path && this.random.chance(this.duplicates.chance)) {
      const to = this.duplicates.to();
      this.clock.after(
        this.random.between(500, this.duplicates.upToMs),
        () => void this.deliverDuplicate({ ...message, to }),
      );
    }
    if (message.method === 'POST' && this.random.chance(this.repeatRate))
      this.clock.after(this.random.between(50, 15_000), () => void this.deliverDuplicate(message));
  }
}
