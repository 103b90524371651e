/** The operators' status of the duties and changes to them, which are conditional writes like any others. */
import type { Mutation, Environment, Precondition, StateAccess } from '@millring/state-access';
import { DUTIES, type Duty } from './duty.js';
import {
  type HolderRecord,
  type HoldRecord,
  DUTIES_PREFIX,
  holdKey,
  holderKey,
} from './records.js';
import { DutiesView } from './view.js';

/** Dependencies of `DutyOperator`, supplied by an operator's command. */
export interface DutyOperatorDependencies {
  store: StateAccess;
  /** Name of the operator, stored in the records that the command writes. */
  by: string;
  /** Time of day in milliseconds. */
  wallMs(): number;
}

/** Status of one duty for operators. Its fields are part of the commands' JSON output. */
export interface DutyStatus {
  duty: Duty;
  holder: HolderRecord | null;
  /** The highest fencing token issued so far; 0 before the first one. */
  token: number;
  /** Set while the duty is on hold, so that no controller may hold it. */
  hold: HoldRecord | null;
  /** Number of the duty's intents without a stored outcome. */
  openIntents: number;
  /** Time of day in milliseconds at the leader when the oldest open intent was opened; null if none is open. */
  oldestOpenedMs: number | null;
}

/**
 * The result of a change. Part of the commands' JSON output.
 *
 * - `refused`: nothing was changed.
 * - `unreachable`: the state service could not be reached, did not respond or did not accept the request. Without a
 *   response, whether the change was made is unknown.
 */
export type DutyResult =
  { kind: 'done'; text: string } | { kind: 'refused'; reason: string } | { kind: 'unreachable' };

/**
 * The result of reading the status. Part of the commands' JSON output. `unreadable` contains the keys of records that
 * controllers ignore.
 */
export type DutyStatusResult =
  | { kind: 'status'; duties: DutyStatus[]; members: string[]; unreadable: string[] }
  | { kind: 'unreachable' };

const NO_OP_LOG: Pick<Environment['log'], 'error'> = { error: () => undefined };

/** The operators' commands on duties. They work with or without a leader. */
export class DutyOperator {
  constructor(private readonly deps: DutyOperatorDependencies) {}

  /** Reads the status of all duties from the state service. */
  async status(): Promise<DutyStatusResult> {
    const view = await this.read();
    if (!view) return { kind: 'unreachable' };
    return {
      kind: 'status',
      duties: DUTIES.map((duty) => statusOf(duty, view)),
      members: [...view.members()].map(([name]) => name),
      unreadable: view.unreadable(),
    };
  }

  /** Puts the duty on hold: no controller holds it until it is released. Refused if the duty is on hold already. */
  async hold(duty: Duty): Promise<DutyResult> {
    const view = await this.read();
    if (!view) return { kind: 'unreachable' };
    const holder = view.holder(duty);
    const hold = view.hold(duty);
    if (hold.kind !== 'absent') return { kind: 'refused', reason: `${duty} is on hold already` };
    const value: HoldRecord = { by: this.deps.by, sinceMs: this.deps.wallMs() };
    const preconditions: Precondition[] = [{ key: holdKey(duty), version: 0 }];
    const changes: Mutation[] = [{ put: holdKey(duty), value }];
    // A holder record that can't be read is removed as well: without the record, no process holds the duty.
    if (holder.kind !== 'absent') {
      preconditions.push({ key: holderKey(duty), version: holder.version });
      changes.push({ remove: holderKey(duty) });
    }
    return this.write(preconditions, changes, `${duty} is on hold`);
  }

  /** Ends an operator's hold or, if there is none, takes the duty from its holder. Refused if there is neither. */
  async release(duty: Duty): Promise<DutyResult> {
    const view = await this.read();
    if (!view) return { kind: 'unreachable' };
    const hold = view.hold(duty);
    if (hold.kind !== 'absent') {
      const key = holdKey(duty);
      return this.write(
        [{ key, version: hold.version }],
        [{ remove: key }],
        `${duty} may be held again`,
      );
    }
    const holder = view.holder(duty);
    if (holder.kind === 'absent')
      return { kind: 'refused', reason: `nobody holds ${duty}, and it is not on hold` };
    const key = holderKey(duty);
    const holderName = holder.kind === 'present' ? holder.value.controller : 'an unknown holder';
    return this.write(
      [{ key, version: holder.version }],
      [{ remove: key }],
      `${duty} was taken from ${holderName}`,
    );
  }

  private async read(): Promise<DutiesView | null> {
    const read = await this.deps.store.scan(DUTIES_PREFIX);
    if (!read) return null;
    const view = new DutiesView(NO_OP_LOG);
    view.load(read.pairs, read.revision);
    return view;
  }

  private async write(
    preconditions: Precondition[],
    changes: Mutation[],
    text: string,
  ): Promise<DutyResult> {
    const result = await this.deps.store.compareAndSwap(preconditions, changes);
    switch (result.kind) {
      case 'committed':
        return { kind: 'done', text };
      case 'conflict':
        return { kind: 'refused', reason: `it changed meanwhile: ${result.failed.join(', ')}` };
      case 'invalid':
      case 'rejected':
      case 'indeterminate':
        return { kind: 'unreachable' };
    }
  }
}

function statusOf(duty: Duty, view: DutiesView): DutyStatus {
  const holder = view.holder(duty);
  const token = view.token(duty);
  const hold = view.hold(duty);
  const openedTimes = [...view.intents()]
    .filter(([, { value }]) => value.duty === duty && value.outcome === null)
    .map(([, { value }]) => value.openedMs);
  return {
    duty,
    holder: holder.kind === 'present' ? holder.value : null,
    token: token.kind === 'present' ? token.value.token : 0,
    hold: hold.kind === 'present' ? hold.value : null,
    openIntents: openedTimes.length,
    oldestOpenedMs: openedTimes.length > 0 ? Math.min(...openedTimes) : null,
  };
}
