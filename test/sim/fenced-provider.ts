/** A machine provider that checks fencing tokens, and the client through which duties use it. */
import {
  type DeleteResult,
  type Duty,
  type MachineProvider,
  type Permit,
  type RentAction,
  type RentResult,
  StaleTokenError,
} from '@millring/duties';
import type { Http, HttpResponse } from '../../src/runtime.js';
import { type Body, toNumber } from '../../src/wire/cbor.js';
import type { Handler } from './network.js';

const PRECONDITION_FAILED = 412;
const TIMEOUT_MS = 5000;

/** A request that was executed, or rejected because of its token. */
export interface ProviderCall {
  duty: Duty;
  token: number;
  /** Id of a rental request, null for a deletion. */
  request: string | null;
  machines: string[];
  executed: boolean;
}

/** The provider's current faults. */
export interface ProviderFailure {
  /** Rejects every request with status 503 and executes nothing. */
  unavailable: boolean;
  /** Executes requests, but does not respond. */
  dropsResponses: boolean;
}

/** Rejects requests with a token lower than the highest token seen for the same duty. */
export class FencedProvider {
  readonly calls: ProviderCall[] = [];
  readonly machines = new Set<string>();
  failure: ProviderFailure = { unavailable: false, dropsResponses: false };
  /** Awaited between the arrival of a request and its execution. */
  delay: () => Promise<void> = () => Promise.resolve();
  /** The highest token seen, by duty. */
  private readonly highestTokens = new Map<Duty, number>();
  private readonly rented = new Map<string, string[]>();
  private nextMachine = 1;

  readonly handle: Handler = async (_method, path, body) => {
    await this.delay();
    if (this.failure.unavailable) return { status: 503, body: {} };
    const response = this.execute(path, body);
    return this.failure.dropsResponses ? new Promise<HttpResponse>(() => undefined) : response;
  };

  executed(duty: Duty): ProviderCall[] {
    return this.calls.filter((call) => call.executed && call.duty === duty);
  }

  rejectedCalls(): ProviderCall[] {
    return this.calls.filter((call) => !call.executed);
  }

  private execute(path: string, body: Body): HttpResponse {
    const duty = body.duty as Duty;
    const token = toNumber(body.token)!;
    const highestToken = Math.max(token, this.highestTokens.get(duty) ?? 0);
    this.highestTokens.set(duty, highestToken);
    const request = path === '/rent' ? (body.request as string) : null;
    const call: ProviderCall = {
      duty,
      token,
      request,
      machines: [],
      executed: token === highestToken,
    };
    this.calls.push(call);
    if (!call.executed) return { status: PRECONDITION_FAILED, body: { newest: highestToken } };
    call.machines =
      request === null ? this.delete(body.machines as string[]) : this.rent(request, body);
    return { status: 200, body: { machines: call.machines } };
  }

  private rent(request: string, body: Body): string[] {
    const before = this.rented.get(request);
    if (before) return before;
    const names = Array.from({ length: toNumber(body.count)! }, () => `p-${this.nextMachine++}`);
    for (const name of names) this.machines.add(name);
    this.rented.set(request, names);
    return names;
  }

  private delete(names: string[]): string[] {
    for (const name of names) this.machines.delete(name);
    return names;
  }
}

/** How the client connects to the provider, and hooks around each request. */
export interface FencedProviderClientOptions {
  http: Http;
  address: string;
  /** Awaited between the check of the holder and the request. */
  beforeSending?: () => Promise<void>;
  onResponse?: (response: HttpResponse) => void;
}

/** Throws `StaleTokenError` when the provider rejects its token. */
export class FencedProviderClient implements MachineProvider {
  constructor(private readonly options: FencedProviderClientOptions) {}

  tryAcquireCall(): boolean {
    return true;
  }

  async rent(permit: Permit, request: string, action: RentAction): Promise<RentResult> {
    const response = await this.send(permit, '/rent', { request, count: action.count });
    return response
      ? { kind: 'rented', machines: response.machines as string[] }
      : { kind: 'unavailable' };
  }

  async delete(permit: Permit, machines: readonly string[]): Promise<DeleteResult> {
    const response = await this.send(permit, '/delete', { machines: [...machines] });
    return { kind: response ? 'deleted' : 'unavailable' };
  }

  private async send({ duty, token }: Permit, path: string, body: Body): Promise<Body | null> {
    await this.options.beforeSending?.();
    const { http, address } = this.options;
    const response = await http.send(address, 'POST', path, { ...body, duty, token }, TIMEOUT_MS);
    this.options.onResponse?.(response);
    if (response.status === PRECONDITION_FAILED)
      throw new StaleTokenError(duty, token, toNumber(response.body.newest)!);
    return response.status === 200 ? response.body : null;
  }
}
