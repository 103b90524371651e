/** Feature levels of a cluster whose controllers are upgraded one at a time. See docs/rollout.md. */
export { listedBuildText } from './build-text.js';
export { type FeatureMode } from './cluster-level.js';
export { RolloutCoordinator, type CoordinatorDependencies } from './coordinator.js';
export { type Conversion } from './decide.js';
export {
  BASE_LEVEL,
  type Build,
  type Feature,
  FeatureRegistry,
  FeatureRegistryError,
} from './levels.js';
export {
  type OperatorDependencies,
  type OperatorResult,
  RolloutOperator,
  type StatusResult,
} from './operator.js';
export { type ParticipantDependencies, RolloutParticipant } from './participant.js';
export { type ParticipantState } from './participant-state.js';
export { type ClusterLevel, LEVEL_KEY } from './records.js';
export { type RolloutSettings } from './settings.js';
export { type ClusterView, type ControllerStatus } from './view.js';
