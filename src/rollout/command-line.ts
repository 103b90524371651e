/** `millring rollout ...`: what operators see of the cluster level and do about it. */
import { type OperatorResult, RolloutOperator, type StatusResult } from '@millring/rollout';
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

export const ROLLOUT_ACTIONS = ['status', 'activate', 'abort', 'downgrade'] as const;
export type RolloutAction = (typeof ROLLOUT_ACTIONS)[number];

export interface RolloutCommand {
  action: RolloutAction;
  json: boolean;
}

export async function runRolloutCommand(
  command: RolloutCommand,
  world: Runtime,
  settings: PlatformSettings,
  operator: OperatorSettings,
  wallMs: () => number,
): Promise<CommandOutcome> {
  const rollout = new RolloutOperator({
    store: createStateStore(world, settings),
    controllers: [settings.node, ...settings.peers.map((peer) => peer.name)],
    registry: FEATURES,
    settings: operator.rollout,
    by: operatorName(world, wallMs),
    wallMs,
  });
  const result =
    command.action === 'status' ? await rollout.status() : await rollout[command.action]();
  const text = command.json ? asJson(result) : asText(result);
  return { exitCode: exitCodeOf(result.kind), text };
}

type Result = OperatorResult | StatusResult;

function asJson(result: Result): string {
  if (result.kind !== 'status') return JSON.stringify(result);
  const { view, obstacle } = result;
  const controllers = Object.fromEntries(view.controllers);
  return JSON.stringify({ kind: 'status', level: view.level, obstacle, controllers });
}

function asText(result: Result): string {
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

function describeLevel({
  state,
  active,
  target,
}: {
  state: string;
  active: number;
  target: number | null;
}): string {
  return `level ${active}, ${state}${target === null ? '' : ` -> ${target}`}`;
}

function statusText({ view, obstacle }: Extract<Result, { kind: 'status' }>): string {
  const { level } = view;
  const lines = [describeLevel(level)];
  if (level.reason !== null) lines.push(`reason: ${level.reason}`);
  if (level.state === 'stable' && obstacle !== null)
    lines.push(`not to be raised now: ${obstacle}`);
  if (level.held !== null)
    lines.push(`level ${level.held.target} waits for an operator: ${level.held.reason}`);
  for (const [name, state] of view.controllers) {
    if (state.kind === 'missing') {
      lines.push(`${name}: ${state.reason}`);
      continue;
    }
    const { build, incarnation, acknowledged } = state.announcement;
    const { version, reads, writes } = build;
    const upToDate =
      acknowledged === level.change || level.state === 'stable' ? '' : ', has not confirmed yet';
    lines.push(
      `${name}: build ${version}, reads ${reads.from} to ${reads.to}, writes ${writes}, start ${incarnation}${upToDate}`,
    );
  }
  return lines.join('\n');
}
