/** Creates the autoscaler of a leader's term. */
import type { IntentLog } from '@millring/duties';
import { Autoscaler } from '../autoscaler/autoscaler.js';
import { Cloud } from '../autoscaler/cloud.js';
import { DirectActions } from '../autoscaler/machine-actions.js';
import type { Demand } from '../autoscaler/scaling-plan.js';
import { IntentActions } from '../duties/intent-actions.js';
import { shouldMinimizeCost } from '../settings/cost-policy.js';
import type { WaitingTasks } from '../placement/waiting-tasks.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { LeaderTermDependencies } from './leader-term-dependencies.js';
import type { LeaseExtensionGrants } from './lease-extension.js';
import { zoneLeasesExtendableUntil, partitionedZones } from './partitioned-zones.js';
import type { TermLifecycle } from './term-lifecycle.js';

/** The components of the term that the autoscaler uses. */
export interface AutoscalerContext {
  lifecycle: TermLifecycle;
  table: MachineTable;
  intentLog: IntentLog;
  grants: LeaseExtensionGrants;
  leaseExtensionMs: number;
  demand(): Demand;
  waitingTasks(): WaitingTasks[];
  /** Whether this controller lags, so that heartbeats that seem to be missing may just be unread. */
  isLagging(): boolean;
  /** Called when the machine no longer exists, and therefore none of the tasks on it. */
  machineDeleted(machine: Machine): void;
}

/** Creates an autoscaler that acts through intents if the cluster's feature level allows them, or directly if not. */
export function createAutoscaler(
  deps: LeaderTermDependencies,
  context: AutoscalerContext,
): Autoscaler {
  const { runtime, settings, operator, types } = deps;
  const { lifecycle, table, grants, leaseExtensionMs } = context;
  const cloud = new Cloud(runtime, settings.cloudAddress, settings.cloudCallsPerS);
  return new Autoscaler({
    runtime,
    cloud,
    actions: createMachineActions(cloud, deps, context),
    table,
    operator,
    types,
    minimizeCost: shouldMinimizeCost(settings, operator),
    heartbeatIntervalS: settings.heartbeatIntervalS,
    listLagS: settings.listLagS,
    isLeader: () => lifecycle.isLeader(),
    demand: () => context.demand(),
    waitingTasks: () => context.waitingTasks(),
    zonesOutOfContact: () => partitionedZones(settings, grants, runtime.clock.now()),
    leasesExtendableUntil: (zone) =>
      zoneLeasesExtendableUntil(zone, settings, grants, leaseExtensionMs),
    controllerZones: new Set([settings.zone, ...settings.peers.map((peer) => peer.zone)]),
    leaseS: settings.leaseS,
    isLagging: () => context.isLagging(),
    machineDeleted: (machine) => {
      context.machineDeleted(machine);
    },
  });
}

function createMachineActions(
  cloud: Cloud,
  { settings, duties }: LeaderTermDependencies,
  { lifecycle, intentLog }: AutoscalerContext,
): IntentActions {
  return new IntentActions({
    intentLog,
    direct: new DirectActions(cloud, () => lifecycle.nextRequestName(settings.node)),
    usesIntents: () => duties.usesIntents(),
    valueBytes: settings.maxValueKb * 1024,
  });
}
