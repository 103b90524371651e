import type { World } from '../runtime.js';
import type { Order, WorkerReport } from '../wire/model.js';
import { commandBody, paths, readReport } from '../wire/messages.js';
import type { Entry, Machine, MachineTable } from './table.js';

export interface OrderDeps {
  world: World;
  table: MachineTable;
  /** Entitled to act at this very moment? */
  leads(): boolean;
  timeoutMs: number;
  /** A report came back with an answer. */
  report(m: Machine, r: WorkerReport): void;
}

const REPEAT_MS = 2000;

function refOf(e: Entry): { job: string; num: number; attempt: number } {
  return { job: e.jobId, num: e.num, attempt: e.attempt };
}

/** Stops can be repeated, so they also ride on the answers to reports; starts never do. */
export function pendingStops(m: Machine): Order[] {
  const out: Order[] = [];
  for (const e of m.entries.values())
    if (e.stop && e.onMachine() && !e.open) out.push({ op: 'stop', ...refOf(e), graceS: e.stop.graceS });
  return out;
}

/**
 * Orders go straight to the worker, one request at a time per machine. Whatever is not answered raises the
 * machine's token, which ends it; until the machine shows the raised token its starts count as executed.
 */
export class OrderSender {
  constructor(private readonly deps: OrderDeps) {}

  private collect(m: Machine, now: number): { orders: Order[]; starts: Set<Entry>; forgets: boolean } {
    const stops: Order[] = [];
    const starts: Order[] = [];
    const forgets: Order[] = [];
    const entries = new Set<Entry>();
    for (const e of m.entries.values()) {
      if (e.state === 'exited') {
        const durable = e.cause !== 'done' || !e.job || e.job.isDurable(e.num);
        if (durable && !e.open && now - e.forgetSentAt >= REPEAT_MS) {
          e.forgetSentAt = now;
          forgets.push({ op: 'forget', ...refOf(e) });
        }
      } else if (e.stop && e.sent && !e.open) {
        if (now - e.stopSentAt >= REPEAT_MS) {
          e.stopSentAt = now;
          stops.push({ op: 'stop', ...refOf(e), graceS: e.stop.graceS });
        }
      } else if (!e.sent && !e.stop) {
        if (m.certain()) {
          entries.add(e);
          starts.push({ op: 'start', ...refOf(e) });
        }
      }
    }
    return { orders: [...forgets, ...stops, ...starts], starts: entries, forgets: forgets.length > 0 };
  }

  /** Sends what is due. With `probe`, also an empty request: its answer is a report under our token. */
  flush(m: Machine, probe = false): void {
    const { world, table } = this.deps;
    const now = world.clock.now();
    if (m.inflight || !m.endpoint || now < m.nextSendAt || !this.deps.leads()) return;
    if (!m.stored && !probe) return;
    const { orders, starts, forgets } = m.stored
      ? this.collect(m, now)
      : { orders: [], starts: new Set<Entry>(), forgets: false };
    if (orders.length === 0 && !probe) return;
    for (const e of starts) e.sent = true;
    // A copy of the start of what is forgotten here could otherwise start it anew: copies have lower tokens.
    if (forgets) table.raise(m);
    m.inflight = { entries: starts };
    const session = m.session || 1;
    void world.http
      .send(
        m.endpoint,
        'POST',
        paths.commands,
        commandBody(table.token(m), session, orders),
        this.deps.timeoutMs,
      )
      .then(({ status, body }) => {
        m.inflight = null;
        const t = world.clock.now();
        const report = status === 200 || status === 409 ? readReport(body) : null;
        if (status === 200) table.answered(starts);
        else if (status === 409) table.refused(starts, t);
        else table.unanswered(m, starts);
        if (status === 200 || status === 409) {
          m.commandFailures = 0;
          if (status === 409) m.nextSendAt = t + 50;
        } else {
          m.commandFailures++;
          m.nextSendAt = t + Math.min(4000, 250 * 2 ** m.commandFailures);
        }
        if (report && report.machine === m.id) this.deps.report(m, report);
      });
  }
}
