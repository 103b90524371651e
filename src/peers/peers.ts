/** What controllers tell each other, by msgpackr over TCP. No rule needs any of it to arrive. */
import { type Server, type Socket, connect, createServer } from 'node:net';
import { Packr } from 'msgpackr';
import { type Observable, Subject } from 'rxjs';
import { isMap } from '../wire/cbor.js';
import type { Runtime } from '../runtime.js';
import type { Attestation } from './attestations.js';

export type PeerMessage =
  | { t: 'progress'; from: string; jobs: [string, { done: number; running: number }][] }
  | { t: 'ask'; from: string; at: number }
  | { t: 'served'; from: string; served: boolean }
  | { t: 'grant'; from: string; to: string; at: number; revision: number; keep: boolean }
  | { t: 'cancelled'; from: string; id: string }
  | {
      t: 'build';
      from: string;
      process: string;
      version: string;
      reads: [number, number];
      writes: number;
    }
  | Attestation;

const FIELDS: Record<PeerMessage['t'], Record<string, (v: unknown) => boolean>> = {
  progress: { jobs: Array.isArray },
  ask: { at: isNumber },
  served: { served: isFlag },
  grant: { to: isText, at: isNumber, revision: isNumber, keep: isFlag },
  cancelled: { id: isText },
  build: { process: isText, version: isText, reads: isRange, writes: isNumber },
  attest: {
    life: isText,
    upMs: isNumber,
    at: isNumber,
    heard: isMap,
    claim: isNumber,
    claiming: isFlag,
    cancelled: Array.isArray,
  },
};

function isNumber(v: unknown): boolean {
  return typeof v === 'number' && Number.isFinite(v);
}
function isText(v: unknown): boolean {
  return typeof v === 'string';
}
function isRange(v: unknown): boolean {
  return Array.isArray(v) && v.length === 2 && v.every(isNumber);
}
function isFlag(v: unknown): boolean {
  return typeof v === 'boolean';
}

/** Null: a kind that this version doesn't know, or one that lacks what it needs. It is skipped. */
export function readPeerMessage(v: unknown): PeerMessage | null {
  if (!isMap(v) || typeof v.from !== 'string' || typeof v.t !== 'string') return null;
  const fields = Object.hasOwn(FIELDS, v.t) ? FIELDS[v.t as PeerMessage['t']] : null;
  if (!fields || !Object.entries(fields).every(([name, valid]) => valid(v[name]))) return null;
  return v as unknown as PeerMessage;
}

const packr = new Packr({ useRecords: false });
const MAX_FRAME = 4 * 1024 * 1024;

export function frame(m: PeerMessage): Buffer {
  const body = packr.pack(m);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
}

/** Cuts a stream of bytes into messages; a frame that is too long or unreadable ends the connection. */
export class Deframer {
  private rest: Buffer = Buffer.alloc(0);

  push(bytes: Buffer): PeerMessage[] | null {
    this.rest = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const out: PeerMessage[] = [];
    while (this.rest.length >= 4) {
      const length = this.rest.readUInt32BE(0);
      if (length > MAX_FRAME) return null;
      if (this.rest.length < 4 + length) break;
      try {
        const m = readPeerMessage(packr.unpack(this.rest.subarray(4, 4 + length)));
        if (m) out.push(m);
      } catch {
        return null;
      }
      this.rest = this.rest.subarray(4 + length);
    }
    return out;
  }
}

const RETRY_MS = 1000;
const MAX_QUEUED = 1024 * 1024;

export class Peers {
  private readonly incoming = new Subject<PeerMessage>();
  readonly messages: Observable<PeerMessage> = this.incoming.asObservable();
  private readonly out = new Map<string, Socket>();
  private server: Server | null = null;

  constructor(
    private readonly world: Runtime,
    private readonly bind: string,
    private readonly addresses: string[],
  ) {}

  run(): void {
    const [host, port] = this.bind.split(':');
    this.server = createServer((s) => {
      this.receive(s);
    });
    this.server.on('error', (e) => {
      this.world.log.error({ err: e.message }, 'peer listener');
    });
    this.server.listen(Number(port), host);
    for (const a of this.addresses) this.dial(a);
  }

  private receive(socket: Socket): void {
    const deframer = new Deframer();
    socket.on('error', () => socket.destroy());
    socket.setTimeout(30_000, () => socket.destroy());
    socket.on('data', (bytes) => {
      const messages = deframer.push(bytes);
      if (!messages) socket.destroy();
      else for (const m of messages) this.incoming.next(m);
    });
  }

  private dial(address: string): void {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    socket.setNoDelay(true);
    socket.on('connect', () => this.out.set(address, socket));
    socket.on('error', () => socket.destroy());
    socket.setTimeout(5000, () => socket.destroy());
    socket.on('close', () => {
      this.out.delete(address);
      this.world.clock.after(RETRY_MS, () => {
        this.dial(address);
      });
    });
  }

  broadcast(m: PeerMessage): void {
    const bytes = frame(m);
    for (const s of this.out.values()) if (s.writableLength < MAX_QUEUED) s.write(bytes);
  }
}
