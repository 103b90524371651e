/** Moves gangs off machines: all tasks of a gang stop at the same time, so that they save and restart together. */
import type { Job } from '../jobs/job.js';
import type { Log } from '../runtime.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { StopReason } from '../workers/stop-reason.js';
import type { StopRequest } from '../workers/stop-request.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { AttemptStopper } from './attempt-stopper.js';
import { fitsGang } from './gang-capacity.js';
import { attemptsOf, gangState } from './gang-state.js';
import { satisfiesConstraints } from './machine-constraints.js';
import { timeToSave } from './save-time.js';

/**
 * A stop with a checkpoint is deferred only while the time left is longer than the time to save, plus `gangPeerS`, plus
 * this many heartbeat intervals.
 */
const HEARTBEATS_BEFORE_STOP = 2;

/** Dependencies of `GangRelocation`. */
export interface GangRelocationDependencies {
  table: MachineTable;
  stopper: AttemptStopper;
  log: Log;
  /** Time in seconds within which the tasks of a running gang notice that one of them no longer runs. */
  gangPeerS: number;
  /** Interval between two heartbeats of a machine, in seconds. */
  heartbeatIntervalS: number;
  /** Current time by the monotonic clock, in milliseconds. */
  now(): number;
  /** Whether the machine may be given work. */
  isUsable(machine: Machine): boolean;
}

/** Decides when a gang leaves a machine, and stops it with a checkpoint. */
export class GangRelocation {
  constructor(private readonly deps: GangRelocationDependencies) {}

  /**
   * Makes the task leave its machine, which will be preempted in `timeLeftS` seconds (Infinity if it stays up). Returns
   * true if anything was stopped. In a starting gang only the task is replaced. A running gang stops as a whole with a
   * checkpoint: as soon as it fits elsewhere and all its machines are responsive, or at the latest time that still
   * allows it to save.
   */
  vacateMachine(attempt: TaskAttempt, gang: Job, timeLeftS: number, reason: StopReason): boolean {
    const state = gangState(gang);
    if (state === 'starting') {
      this.deps.stopper.stop(attempt, { graceS: 0, reason, replaced: true });
      return true;
    }
    if (state !== 'running') return false;
    const { gangPeerS, heartbeatIntervalS } = this.deps;
    const minTimeLeftS = gang.spec.saveS + gangPeerS + HEARTBEATS_BEFORE_STOP * heartbeatIntervalS;
    if (timeLeftS > minTimeLeftS && !this.canRelocate(gang, attempt.machine)) return false;
    this.stopWithCheckpoint(gang, reason, timeLeftS);
    return true;
  }

  /** Whether the whole gang fits elsewhere, without the machine `from`, and all its present machines are responsive. */
  canRelocate(gang: Job, from: Machine): boolean {
    if (!this.areAllResponsive(gang)) return false;
    const destinations = [...this.deps.table.all()].filter(
      (machine) =>
        machine !== from &&
        !machine.isStraggler &&
        this.deps.isUsable(machine) &&
        satisfiesConstraints(gang.spec, machine),
    );
    return fitsGang(gang, destinations);
  }

  /** Whether all machines of the gang are reconciled, and none has left its latest request without a response. */
  private areAllResponsive(gang: Job): boolean {
    return attemptsOf(gang).every(
      ({ machine }) => machine.isReconciled() && machine.commandFailures === 0,
    );
  }

  /**
   * Stops all tasks at the same time and gives them time to save, so that the next attempt continues from there. If
   * that is impossible because a machine is not responsive or the time is too short, the gang falls back to its last
   * checkpoint; unless it may be saving already, which a stop without time to save would end.
   */
  stopWithCheckpoint(gang: Job, reason: StopReason, timeLeftS = Infinity): void {
    const { id, saveS, checkpointS } = gang.spec;
    const graceS = this.areAllResponsive(gang) ? timeToSave(gang.spec, timeLeftS) : 0;
    if (checkpointS === 0 || graceS < saveS)
      this.deps.log.info({ job: id, reason }, 'gang stops without a checkpoint');
    const request: StopRequest = {
      graceS: this.mayBeSaving(gang) ? saveS : graceS,
      reason,
      replaced: false,
    };
    for (const attempt of attemptsOf(gang)) this.deps.stopper.stop(attempt, request);
  }

  /**
   * Whether a former leader may have told the gang to save: workers report tasks of a gang as running also while they
   * save. One that still runs after it could have saved was not told.
   */
  private mayBeSaving(gang: Job): boolean {
    const { checkpointS, saveS } = gang.spec;
    const now = this.deps.now();
    return (
      checkpointS > 0 &&
      attemptsOf(gang).some(
        ({ startTimeUnknown, createdAt }) => startTimeUnknown && now - createdAt < saveS * 1000,
      )
    );
  }
}
