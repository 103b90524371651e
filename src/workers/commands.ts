import type { World } from '../runtime.js';
import type { WorkerCommand, WorkerReport } from '../wire/model.js';
import { commandBody, readReport, workerPaths } from '../wire/workers.js';
import type { Machine } from './machine.js';
import type { MachineTable } from './machine-table.js';
import type { TaskAttempt } from './task-attempt.js';

export interface CommandSenderDeps {
  world: World;
  table: MachineTable;
  /** Entitled to act at this very moment? */
  leads(): boolean;
  timeoutMs: number;
  /** Requests under way at once: beyond that, sockets and the processor are left to users and reports. */
  mostInflight: number;
  /** Is enough known of cancellations for a start? */
  mayStart(): boolean;
  /** A report came back with an answer. */
  report(m: Machine, r: WorkerReport): void;
}

const REPEAT_MS = 2000;
/** An empty request costs nothing if it is answered late, so that it need not be waited for as long. */
const PROBE_MS = 900;

function refOf(e: TaskAttempt): { job: string; taskNumber: number; attempt: number } {
  return { job: e.jobId, taskNumber: e.taskNumber, attempt: e.attempt };
}

/**
 * Stops and forgets can be repeated, so they ride on the answers to reports, which costs no request; starts
 * never do. A forget raises the machine's token, and so does not go out while a start is in flight.
 */
export function commandsForReport(m: Machine, table: MachineTable, now: number): WorkerCommand[] {
  const out: WorkerCommand[] = [];
  const forgets = m.inflight ? [] : dueForgets(m, now);
  if (forgets.length > 0) table.raise(m);
  out.push(...forgets);
  for (const e of m.attempts.values())
    if (e.stop && e.onMachine()) out.push({ op: 'stop', ...refOf(e), graceS: e.stop.graceS });
  return out;
}

/** Exited tasks whose result is durable, if there was one. */
function dueForgets(m: Machine, now: number): WorkerCommand[] {
  const out: WorkerCommand[] = [];
  for (const e of m.attempts.values()) {
    if (e.state !== 'exited' || e.open || now - e.forgetSentAt < REPEAT_MS) continue;
    if (e.cause === 'done' && e.job && !e.job.isDurable(e.taskNumber)) continue;
    e.forgetSentAt = now;
    out.push({ op: 'forget', ...refOf(e) });
  }
  return out;
}

interface Batch {
  orders: WorkerCommand[];
  starts: Set<TaskAttempt>;
  /** Nothing is left to be sent, now or later. */
  settled: boolean;
}

const NOTHING: Batch = { orders: [], starts: new Set(), settled: false };

/**
 * Orders go straight to the worker, one request at a time per machine. Whatever is not answered raises the
 * machine's token, which ends it; until the machine shows the raised token its starts count as executed.
 */
export class CommandSender {
  private inflight = 0;
  /** Of these, to machines that did not answer the last one. */
  private failing = 0;

  constructor(private readonly deps: CommandSenderDeps) {}

  private collect(m: Machine, now: number): Batch {
    const stops: WorkerCommand[] = [];
    const starts: WorkerCommand[] = [];
    const entries = new Set<TaskAttempt>();
    let settled = true;
    for (const e of m.attempts.values()) {
      if (e.state === 'exited') settled = false;
      else if (e.stop && e.sent) {
        settled = false;
        if (!e.open && now - e.stopSentAt >= REPEAT_MS) {
          e.stopSentAt = now;
          stops.push({ op: 'stop', ...refOf(e), graceS: e.stop.graceS });
        }
      } else if (!e.sent && !e.stop) {
        settled = false;
        if (m.certain() && this.deps.mayStart()) {
          entries.add(e);
          starts.push({ op: 'start', ...refOf(e) });
        }
      }
    }
    return { orders: [...stops, ...starts], starts: entries, settled };
  }

  /** All that is to go out at once; `all`: also what is repeated, or waited for something else. */
  flushDue(all: boolean): void {
    const { table } = this.deps;
    for (const m of all ? table.due : table.hot) {
      if (this.inflight >= this.deps.mostInflight) return;
      this.flush(m);
    }
  }

  /** Sends what is due. With `probe`, also an empty request: its answer is a report under our token. */
  flush(m: Machine, probe = false): void {
    const { world, table } = this.deps;
    const now = world.clock.now();
    if (m.inflight || !m.endpoint || now < m.nextSendAt || !this.deps.leads()) return;
    if (!m.stored && !probe) return;
    // A dead machine holds its request until it is given up. However many are dead at once, the others get theirs.
    const most = this.deps.mostInflight;
    const failing = m.commandFailures > 0;
    if (failing && this.failing >= most / 2) return;
    if (probe && this.inflight >= most * 0.8) return;
    const { orders, starts, settled } = m.stored ? this.collect(m, now) : NOTHING;
    table.hot.delete(m);
    if (settled) table.settled(m);
    if (orders.length === 0 && !probe) return;
    for (const e of starts) e.sent = true;
    // Forgets alone wait for the next report; here they ride along. A copy of the start of what is forgotten
    // could otherwise start it anew: copies have lower tokens.
    const forgets = m.stored ? dueForgets(m, now) : [];
    if (forgets.length > 0) table.raise(m);
    m.inflight = { attempts: starts };
    this.inflight++;
    if (failing) this.failing++;
    const session = m.session || 1;
    void world.http
      .send(
        m.endpoint,
        'POST',
        workerPaths.commands,
        commandBody(table.token(m), session, [...forgets, ...orders]),
        orders.length === 0 ? Math.min(PROBE_MS, this.deps.timeoutMs) : this.deps.timeoutMs,
      )
      .then(({ status, body }) => {
        this.inflight--;
        if (failing) this.failing--;
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
        // What was held meanwhile goes out next.
        if (m.attempts.size > 0) table.mark(m);
      });
  }
}
