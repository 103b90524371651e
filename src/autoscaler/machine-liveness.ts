/** Determines whether a machine is reachable, based only on its heartbeats and command responses. */
import type { Machine } from '../workers/machine.js';

/** Heartbeat timing from the settings. */
export interface LivenessSettings {
  /** Interval between two heartbeats of a machine, in seconds. */
  heartbeatIntervalS: number;
  /** Heartbeats missed in a row before a machine counts as unreachable. */
  missedHeartbeats: number;
}

/** Heartbeats are late by at most a quarter of the interval; after this many intervals a heartbeat is overdue. */
const OVERDUE_AFTER_INTERVALS = 1.27;
const OVERDUE_SLACK_MS = 200;
/**
 * After this many intervals without a heartbeat, requests without a response make a machine unreachable before
 * `unreachableAfterMs` has passed.
 */
const UNRESPONSIVE_AFTER_INTERVALS = 1.6;
/** Consecutive requests without a response that, after `UNRESPONSIVE_AFTER_INTERVALS`, make a machine unreachable. */
const UNREACHABLE_AFTER_COMMAND_FAILURES = 2;
const UNREACHABLE_SLACK_MS = 500;

/** Stateless: all data it needs is stored in `Machine`. */
export class MachineLiveness {
  private readonly overdueAfterMs: number;
  private readonly unresponsiveAfterMs: number;
  /** Time in milliseconds for which a machine that neither responds nor sends heartbeats still counts as reachable. */
  readonly unreachableAfterMs: number;

  constructor({ heartbeatIntervalS, missedHeartbeats }: LivenessSettings) {
    this.overdueAfterMs = OVERDUE_AFTER_INTERVALS * heartbeatIntervalS * 1000 + OVERDUE_SLACK_MS;
    this.unresponsiveAfterMs = UNRESPONSIVE_AFTER_INTERVALS * heartbeatIntervalS * 1000;
    this.unreachableAfterMs = missedHeartbeats * heartbeatIntervalS * 1000 + UNREACHABLE_SLACK_MS;
  }

  /**
   * Whether the heartbeat is overdue. The leader then probes the machine, which detects a failure sooner than waiting
   * for further heartbeats.
   */
  isHeartbeatOverdue(machine: Machine, now: number): boolean {
    return (machine.reported || machine.stored) && now - machine.lastHeardAt > this.overdueAfterMs;
  }

  /**
   * Whether the machine sends nothing, messages to it don't arrive, or its lease has expired. Such a machine can't be
   * given work, and unless its lease has expired, only its deletion proves that nothing runs on it.
   */
  isUnreachable(machine: Machine, now: number): boolean {
    if (machine.leaseExpired) return true;
    if (!machine.reported && !machine.stored) return false;
    const timeSinceHeardMs = now - machine.lastHeardAt;
    const isUnresponsive =
      machine.commandFailures >= UNREACHABLE_AFTER_COMMAND_FAILURES &&
      this.isHeartbeatOverdue(machine, now) &&
      timeSinceHeardMs > this.unresponsiveAfterMs;
    return (
      isUnresponsive ||
      timeSinceHeardMs > this.unreachableAfterMs ||
      machine.isNotAcknowledging(this.unreachableAfterMs, now)
    );
  }

  /**
   * Whether the machine may be unreachable. True earlier than `isUnreachable`, so that a zone is checked for a
   * partition before the first of its machines is declared unreachable.
   */
  isSuspected(machine: Machine, now: number): boolean {
    return (
      machine.leaseExpired ||
      this.isHeartbeatOverdue(machine, now) ||
      (machine.awaitingReconciliation && !machine.isReconciled() && machine.commandFailures > 0)
    );
  }
}
