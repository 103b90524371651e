/** The states of a leader's term, from its election to its end. */
import type { Log } from '../runtime.js';
import { StateMachine, type Transitions } from '../state-machine.js';
import { type LeadershipTerm, TOKENS_PER_EPOCH } from './leader-record.js';

/**
 * - `recovering`: the records of former leaders are being read.
 * - `serving`: acting as the leader.
 * - `ended`: another term may have begun, nothing may be done any more.
 */
export type LeaderTermState = 'recovering' | 'serving' | 'ended';

const TRANSITIONS: Transitions<LeaderTermState> = {
  recovering: ['serving', 'ended'],
  serving: ['ended'],
  ended: [],
};

/** The state machine of one term. All parts of the term check it before they act. */
export class TermLifecycle {
  readonly epoch: number;
  /** The least token of the term: that of a machine whose token was never advanced. */
  readonly baseToken: number;
  private readonly machine: StateMachine<LeaderTermState>;
  private requestCount = 0;

  /** `holdsLease`: does this node lead at this moment, in this very term? */
  constructor(
    term: LeadershipTerm,
    log: Log,
    private readonly holdsLease: () => boolean,
  ) {
    const { epoch } = term;
    const baseToken = epoch * TOKENS_PER_EPOCH;
    this.epoch = epoch;
    this.baseToken = baseToken;
    this.machine = new StateMachine('leader term', TRANSITIONS, 'recovering', {
      beforeTransition: (from, to) => {
        log.info({ from, to, epoch, token: baseToken }, 'leader term');
      },
    });
  }

  isRecovering(): boolean {
    return this.machine.state === 'recovering';
  }

  /** The records are read, though the leadership may be suspended. */
  isServing(): boolean {
    return this.machine.state === 'serving';
  }

  hasEnded(): boolean {
    return this.machine.state === 'ended';
  }

  /** May this node act as the leader at this moment? */
  isLeader(): boolean {
    return this.isServing() && this.holdsLease();
  }

  serve(): void {
    this.machine.transitionTo('serving', 'records are read');
  }

  end(): void {
    this.machine.transitionTo('ended', 'leadership has ended');
  }

  /** A name for a request to the cloud, never used twice by any node. */
  nextRequestName(node: string): string {
    return `${node}-${this.epoch}-${this.requestCount++}`;
  }
}
