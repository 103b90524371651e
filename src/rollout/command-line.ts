/** Implements `millring rollout ...`, by which operators inspect and change the cluster's feature level. */
import {
  type ClusterLevel,
  type ControllerStatus,
  type OperatorResult,
  RolloutOperator,
  type StatusResult,
  listedBuildText,
} from '@millring/rollout';
import { FEATURES } from '../build.js';
import {
  type CommandOutcome,
  UNREACHABLE_TEXT,
  exitCodeOf,
  operatorName,
} from '../command-outcome.js';
import type { Runtime } from '../runtime.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import { createStateStore } from '../state-store/client.js';

/** Actions of `millring rollout`. */
export const ROLLOUT_ACTIONS = ['status', 'activate', 'abort', 'downgrade'] as const;
/** An action of `millring rollout`. */
export type RolloutAction = (typeof ROLLOUT_ACTIONS)[number];

/** Parsed command line of `millring rollout`. */
export interface RolloutCommand {
  action: RolloutAction;
  json: boolean;
}

/** Runs one command against the state service. Does not throw if the service is unreachable. */
export async function runRolloutCommand(
  command: RolloutCommand,
  runtime: Runtime,
  settings: PlatformSettings,
  operator: OperatorSettings,
  wallMs: () => number,
): Promise<CommandOutcome> {
  const rollout = new RolloutOperator({
    store: createStateStore(runtime, settings),
    controllers: [settings.node, ...settings.peers.map((peer) => peer.name)],
    registry: FEATURES,
    settings: operator.rollout,
    by: operatorName(runtime, wallMs),
    wallMs,
  });
  const result =
    command.action === 'status' ? await rollout.status() : await rollout[command.action]();
  const text = command.json ? asJson(result) : asText(result);
  return { exitCode: exitCodeOf(result.kind), text };
}

type CommandResult = OperatorResult | StatusResult;

function asJson(result: CommandResult): string {
  if (result.kind !== 'status') return JSON.stringify(result);
  const { view, obstacle } = result;
  const controllers = Object.fromEntries(view.controllers);
  return JSON.stringify({ kind: 'status', level: view.level, obstacle, controllers });
}

function asText(result: CommandResult): string {
  switch (result.kind) {
    case 'done':
      return `${describeLevel(result.level)}: the leader goes on with it`;
    case 'refused':
      return `refused: ${result.reason}`;
    case 'unreachable':
      return UNREACHABLE_TEXT;
    case 'status':
      return statusText(result);
  }
}

function describeLevel({ state, active, target }: ClusterLevel): string {
  return `level ${active}, ${state}${target === null ? '' : ` -> ${target}`}`;
}

function statusText({ view, obstacle }: Extract<CommandResult, { kind: 'status' }>): string {
  const { level } = view;
  const lines = [describeLevel(level)];
  if (level.reason !== null) lines.push(`reason: ${level.reason}`);
  if (level.state === 'stable' && obstacle !== null)
    lines.push(`not to be raised now: ${obstacle}`);
  if (level.held !== null)
    lines.push(`level ${level.held.target} waits for an operator: ${level.held.reason}`);
  for (const [name, state] of view.controllers)
    lines.push(`${name}: ${describeController(state, level)}`);
  return lines.join('\n');
}

function describeController(state: ControllerStatus, level: ClusterLevel): string {
  if (state.kind === 'missing') return state.reason;
  const { build, incarnation, acknowledged } = state.announcement;
  const hasAcknowledged = acknowledged === level.change || level.state === 'stable';
  const remark = hasAcknowledged ? '' : ', has not confirmed yet';
  return `build ${listedBuildText(build)}, start ${incarnation}${remark}`;
}
