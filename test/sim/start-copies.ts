/** Records the requests that start tasks, and delivers copies of them later. */
import { decodeMap } from '../../src/wire/cbor.js';
import type { Cluster } from './cluster.js';
import type { ObservedRequest } from './network.js';
import { COMMANDS_PATH, decodeCommandRequest } from './wire/workers.js';

/** A request that started a task. */
export interface StartRequest {
  task: string;
  attempt: number;
  machine: string;
  request: ObservedRequest;
}

/** Records all requests of a cluster that start tasks. Takes the place of the network's observer. */
export class StartCopies {
  readonly starts: StartRequest[] = [];
  /** Number of forgets that were sent in requests with commands, not in responses to heartbeats. */
  forgetsInRequests = 0;

  constructor(private readonly cluster: Cluster) {
    cluster.network.observer = {
      requested: (request) => {
        if (request.path === COMMANDS_PATH) this.record(request);
      },
      responded: () => undefined,
    };
  }

  private record(request: ObservedRequest): void {
    const body = decodeMap(request.body)!;
    const machine = /^w-(.*):9000$/.exec(request.to)![1];
    for (const { kind, task, attempt } of decodeCommandRequest(body).commands)
      if (kind === 'start') this.starts.push({ task, attempt, machine, request });
      else if (kind === 'remove') this.forgetsInRequests++;
  }

  /** Returns the last request that started the task. */
  lastOf(task: string): StartRequest {
    const start = this.starts.filter((candidate) => candidate.task === task).at(-1);
    if (!start) throw new Error(`${task} was not started`);
    return start;
  }

  /** Whether the machine still reports the attempt, in any state. */
  isReported({ machine, task, attempt }: StartRequest): boolean {
    const reported = this.cluster.cloud.machines.get(machine)?.worker?.tasks.reported() ?? [];
    return reported.some((one) => one.task === task && Number(one.attempt) === attempt);
  }

  /** Delivers a copy of the request to its machine. Returns the status of the response, 0 if there is none. */
  deliver({ request }: StartRequest): Promise<number> {
    return this.cluster.network.deliverCopy(request);
  }
}
