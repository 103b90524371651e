/** Implements `millring duties ...`, by which operators inspect and change the holders of duties. */
import {
  type Duty,
  DutyOperator,
  type DutyResult,
  type DutyStatus,
  type DutyStatusResult,
} from '@millring/duties';
import {
  type CommandOutcome,
  UNREACHABLE_TEXT,
  exitCodeOf,
  operatorName,
} from '../command-outcome.js';
import type { Runtime } from '../runtime.js';
import type { PlatformSettings } from '../settings/platform.js';
import { createStateStore } from '../state-store/client.js';

/** Parsed command line of `millring duties`. */
export type DutiesCommand =
  { action: 'status'; json: boolean } | { action: 'release' | 'hold'; duty: Duty; json: boolean };

/** Runs one command against the state service. Does not throw if the service is unreachable. */
export async function runDutiesCommand(
  command: DutiesCommand,
  runtime: Runtime,
  settings: PlatformSettings,
  wallMs: () => number,
): Promise<CommandOutcome> {
  const operator = new DutyOperator({
    store: createStateStore(runtime, settings),
    by: operatorName(runtime, wallMs),
    wallMs,
  });
  const result =
    command.action === 'status'
      ? await operator.status()
      : await operator[command.action](command.duty);
  const text = command.json ? JSON.stringify(result) : asText(result, wallMs());
  return { exitCode: exitCodeOf(result.kind), text };
}

type CommandResult = DutyResult | DutyStatusResult;

function asText(result: CommandResult, nowMs: number): string {
  switch (result.kind) {
    case 'done':
      return result.text;
    case 'refused':
      return `refused: ${result.reason}`;
    case 'unreachable':
      return UNREACHABLE_TEXT;
    case 'status':
      return statusText(result, nowMs);
  }
}

function statusText(
  { duties, members, unreadable }: Extract<CommandResult, { kind: 'status' }>,
  nowMs: number,
): string {
  const lines = duties.map((status) => dutyText(status, nowMs));
  lines.push(members.length > 0 ? `members: ${members.join(', ')}` : 'no controller takes part');
  for (const key of unreadable) lines.push(`${key}: can't be read, and is not acted on`);
  return lines.join('\n');
}

function dutyText(
  { duty, holder, hold, token, openIntents, oldestOpenedMs }: DutyStatus,
  nowMs: number,
): string {
  const who = hold ? `on hold by ${hold.by}` : holder ? `held by ${holder.controller}` : 'vacant';
  const ageS =
    oldestOpenedMs === null ? 0 : Math.max(0, Math.round((nowMs - oldestOpenedMs) / 1000));
  const open = openIntents > 0 ? `, ${openIntents} open, the oldest for ${ageS} s` : '';
  return `${duty}: ${who}, token ${token}${open}`;
}
