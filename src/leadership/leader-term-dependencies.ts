/** What a leader's term needs of the controller that it runs in. */
import type { Precondition } from '@millring/state-access';
import type { ControllerDuties } from '../duties/controller-duties.js';
import type { Runtime } from '../runtime.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';
import type { MachineType } from '../wire/model.js';

/** Supplied by the controller node, for one term. */
export interface LeaderTermDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  store: StateStore;
  types: MachineType[];
  /** Time of day in milliseconds. */
  wallMs(): number;
  /** Does this node lead at this moment, in this very term? */
  isLeader(): boolean;
  /** Guards every write: it fails once the term has ended. */
  termPrecondition(): Precondition;
  /** Is it known that the job is cancelled, whatever its record says as last read? */
  isCancelled(id: string): boolean;
  /** Are cancellations known well enough for starting anything? */
  cancellationsAreFresh(): boolean;
  /** For records in compressed segments, see `CompletionWriter`. */
  segmentPrecondition(): Precondition | null;
  duties: Pick<ControllerDuties, 'mayIntentsExist' | 'usesIntents' | 'intentLog'>;
  /** Gives up the leadership. */
  resign(reason: string): void;
}
