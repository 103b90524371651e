/** The states of a leader's term, from its election to its end. */
import type { Log } from '../runtime.js';
import { StateMachine, type Transitions } from '../state-machine.js';
import { type ElectedTerm, TOKENS_PER_EPOCH } from './leader-record.js';

/**
 * - `recovering`: this node is reading the records that former leaders stored. `FailoverRecovery` is a later phase: it
 *   begins with `serving`.
 * - `serving`: this node acts as the leader.
 * - `ended`: another term may have begun, so this term may take no more actions.
 */
export type LeaderTermState = 'recovering' | 'serving' | 'ended';

const TRANSITIONS: Transitions<LeaderTermState> = {
  recovering: ['serving', 'ended'],
  serving: ['ended'],
  ended: [],
};

/** The state machine of one term. All components of the term check it before they act. */
export class TermLifecycle {
  readonly epoch: number;
  /**
   * The lowest token of the term: the token of a machine whose token was never advanced. Attempt numbers start at it
   * too, so that no two terms use the same number.
   */
  readonly baseToken: number;
  private readonly stateMachine: StateMachine<LeaderTermState>;
  private requestCount = 0;

  /** `holdsLeadership` returns whether this node leads now, in this term and no later one. */
  constructor(
    term: ElectedTerm,
    log: Log,
    private readonly holdsLeadership: () => boolean,
  ) {
    const { epoch } = term;
    const baseToken = epoch * TOKENS_PER_EPOCH;
    this.epoch = epoch;
    this.baseToken = baseToken;
    this.stateMachine = new StateMachine('leader term', TRANSITIONS, 'recovering', {
      beforeTransition: (from, to) => {
        log.info({ from, to, epoch, token: baseToken }, 'leader term');
      },
    });
  }

  /** Whether the records are still being read: state `recovering`. */
  isLoading(): boolean {
    return this.stateMachine.state === 'recovering';
  }

  /** Whether the records were read and the term has not ended; the leadership may be suspended. */
  isServing(): boolean {
    return this.stateMachine.state === 'serving';
  }

  hasEnded(): boolean {
    return this.stateMachine.state === 'ended';
  }

  /** Whether this node may act as the leader now: the term is serving and the leadership is not suspended. */
  isLeader(): boolean {
    return this.isServing() && this.holdsLeadership();
  }

  serve(): void {
    this.stateMachine.transitionTo('serving', 'records were read');
  }

  end(): void {
    this.stateMachine.transitionTo('ended', 'leadership has ended');
  }

  /** Returns a name for a request to the cloud that no node uses twice. */
  nextRequestName(node: string): string {
    return `${node}-${this.epoch}-${this.requestCount++}`;
  }
}
