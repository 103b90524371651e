/** Dependencies of a leader's term on the controller in which it runs. */
import type { Precondition } from '@millring/state-access';
import type { ControllerDuties } from '../duties/controller-duties.js';
import type { Runtime } from '../runtime.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';
import type { MachineType } from '../wire/model.js';

/** Supplied by the controller node for one term. */
export interface LeaderTermDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  store: StateStore;
  types: MachineType[];
  /** Returns the wall-clock time in milliseconds since the Unix epoch. */
  wallMs(): number;
  /** Whether this node leads now, in this term and no later one. True also before the term serves. */
  holdsLeadership(): boolean;
  /** Precondition of every write: it fails once the term has ended. */
  leaderPrecondition(): Precondition;
  /** Whether the job is known to be cancelled, even if its record did not state it at the last read. */
  isCancelled(id: string): boolean;
  /** Whether this node's knowledge of cancellations is recent enough to start tasks. */
  cancellationsAreFresh(): boolean;
  /** Precondition of writes of compressed segments, see `CompletionWriter`. Returns null if none may be written now. */
  segmentPrecondition(): Precondition | null;
  duties: Pick<ControllerDuties, 'mayIntentsExist' | 'usesIntents' | 'intentLog'>;
  /** Gives up the leadership. */
  resign(reason: string): void;
}
