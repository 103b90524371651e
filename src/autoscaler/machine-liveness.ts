/** Judges from its heartbeats and command responses alone whether one machine can be reached. */
import type { Machine } from '../workers/machine.js';

/** Timing of heartbeats, as the settings give it. */
export interface LivenessSettings {
  /** Seconds between two heartbeats of a machine. */
  heartbeatIntervalS: number;
  /** Heartbeats missed in a row before a machine counts as unreachable. */
  missedHeartbeats: number;
}

/** Heartbeats are a quarter late at most, so a later one is overdue. */
const OVERDUE_AFTER_INTERVALS = 1.27;
const OVERDUE_SLACK_MS = 200;
/** Without a heartbeat for this long, failed commands make a machine unreachable before its patience is used up. */
const UNANSWERED_AFTER_INTERVALS = 1.6;
const UNREACHABLE_AFTER_FAILED_COMMANDS = 2;
const PATIENCE_SLACK_MS = 500;

/** Stateless: everything it needs stands in the machine. */
export class MachineLiveness {
  private readonly overdueAfterMs: number;
  private readonly unansweredAfterMs: number;
  /** How long a machine that answers nothing and sends nothing still counts as reachable. */
  readonly patienceMs: number;

  constructor({ heartbeatIntervalS, missedHeartbeats }: LivenessSettings) {
    this.overdueAfterMs = OVERDUE_AFTER_INTERVALS * heartbeatIntervalS * 1000 + OVERDUE_SLACK_MS;
    this.unansweredAfterMs = UNANSWERED_AFTER_INTERVALS * heartbeatIntervalS * 1000;
    this.patienceMs = missedHeartbeats * heartbeatIntervalS * 1000 + PATIENCE_SLACK_MS;
  }

  /** Its heartbeat is overdue: a probe tells sooner than further missing heartbeats would. */
  isHeartbeatOverdue(machine: Machine, now: number): boolean {
    return (machine.reported || machine.stored) && now - machine.lastHeardAt > this.overdueAfterMs;
  }

  /** It sends nothing or receives nothing: it can't be given work, and only its deletion proves what it runs. */
  isUnreachable(machine: Machine, now: number): boolean {
    if (machine.leaseExpired) return true;
    if (!machine.reported && !machine.stored) return false;
    const silentForMs = now - machine.lastHeardAt;
    const unanswered =
      machine.commandFailures >= UNREACHABLE_AFTER_FAILED_COMMANDS &&
      this.isHeartbeatOverdue(machine, now) &&
      silentForMs > this.unansweredAfterMs;
    return (
      unanswered ||
      silentForMs > this.patienceMs ||
      machine.isNotAcknowledging(this.patienceMs, now)
    );
  }

  /** Earlier than unreachable: a zone is judged as a whole before the first of its machines is judged by itself. */
  isSuspected(machine: Machine, now: number): boolean {
    return (
      machine.leaseExpired ||
      this.isHeartbeatOverdue(machine, now) ||
      (machine.awaitingReconciliation && !machine.isReconciled() && machine.commandFailures > 0)
    );
  }
}
