/**
 * One run of the soak test: users submit jobs to all controllers while faults are injected by the schedule of a seed.
 * Afterwards all jobs have to reach a terminal state. The invariants are checked against what the simulated services
 * observed. The faults, their times and the jobs are drawn from the seed, but their interleaving also depends on real
 * time, so that a run cannot be reproduced exactly.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { TEAM_USAGE_VIOLATION } from '../../src/placement/usage-audit.js';
import { BATCH, GANG, SERVICE, jobId } from '../sim/jobs.js';
import { SeededRandom } from '../sim/random.js';
import { type ObservedJob, observedJob } from '../sim/observed-job.js';
import {
  type JobSubmission,
  type UserRequest,
  cancelRequest,
  decodeJobResponse,
  pollRequest,
  submitRequest,
} from '../sim/wire/users.js';
import { FaultInjector } from './fault-injector.js';
import { type ScheduledFault, faultSchedule } from './fault-schedule.js';
import { CONTROLLER_NAMES, SoakDeployment, type SoakSize, TEAMS } from './soak-deployment.js';

/** Figures of a run, and the invariants that it violated. */
export interface SoakResult {
  seed: number;
  machines: number;
  jobs: number;
  starts: number;
  /** Number of times that a controller began to serve as the leader. */
  terms: number;
  /** Highest CPU usage of any team, as a share of its limit. */
  peakShare: number;
  violations: string[];
  schedule: ScheduledFault[];
  /** Logs of the controllers; empty if no invariant was violated. */
  logs: { name: string; text: string }[];
  /** The last `HISTORY_LINES` starts and exits of tasks, with times. */
  history: string[];
}

const SMALL: SoakSize = { machinesPerPool: 3, teamLimit: 30, reportS: 0.5, leaseS: 5, cancelS: 14 };
const LARGE: SoakSize = { machinesPerPool: 60, teamLimit: 400, reportS: 2, leaseS: 8, cancelS: 20 };
/** Seeds that are multiples of this number run at the large size. */
const SEEDS_PER_LARGE_RUN = 10;
/** Time for the controllers to start serving. */
const STARTUP_MS = 3000;
const FAULTS_MS = 24_000;
/** Time for the last faults to end and for machines to boot, which takes some seconds. */
const RECOVERY_MS = 9000;
/** Maximum time that a run waits for its jobs to reach a terminal state. */
const SETTLE_TIMEOUT_MS = 90_000;
const USER_RETRY_MS = 300;
/**
 * Subtracted from the time at which a request is sent. The services' clock advances in steps, so that a response
 * received before the sending and one received after it may have equal times; the margin keeps them apart.
 */
const STEP_MARGIN_MS = 50;
const HISTORY_LINES = 400;
/** Part of the log line of a controller that begins to serve as the leader. */
const TERM_START_MARKER = '"to":"serving"';

function sizeOf(seed: number): SoakSize {
  return seed % SEEDS_PER_LARGE_RUN === 0 ? LARGE : SMALL;
}

class SoakRun {
  private readonly random: SeededRandom;
  private readonly injector: FaultInjector;
  private submitting = true;
  private nextJob = 1;
  private peakShare = 0;
  private readonly history: string[] = [];

  constructor(
    private readonly seed: number,
    private readonly size: SoakSize,
    private readonly deployment: SoakDeployment,
  ) {
    this.random = new SeededRandom(seed + 1_000_000);
    this.injector = new FaultInjector(deployment, this.random, 2 * size.leaseS * 1000);
    this.recordHistory();
  }

  private get services(): SoakDeployment['services'] {
    return this.deployment.services;
  }

  private recordHistory(): void {
    const { invariants, clock } = this.services;
    const addLine = (line: string): void => {
      this.history.push(`${Math.round(clock.time)} ${line}`);
      if (this.history.length > HISTORY_LINES) this.history.shift();
    };
    const taskStarted = invariants.taskStarted.bind(invariants);
    const taskLeft = invariants.taskLeft.bind(invariants);
    invariants.taskStarted = (task, place) => {
      addLine(`start ${task} on ${place.machine}`);
      taskStarted(task, place);
      const used = Math.max(...TEAMS.map((team) => invariants.usedCpus(team)));
      this.peakShare = Math.max(this.peakShare, used / this.size.teamLimit);
    };
    invariants.taskLeft = (task, machine, done) => {
      addLine(`exit ${task} on ${machine}${done ? ' done' : ''}`);
      taskLeft(task, machine, done);
    };
  }

  async run(schedule: ScheduledFault[]): Promise<void> {
    await delay(STARTUP_MS);
    void this.submit();
    for (const { atMs, fault } of schedule)
      setTimeout(() => void this.injector.inject(fault), atMs);
    await delay(FAULTS_MS);
    this.submitting = false;
    await delay(RECOVERY_MS);
    this.services.network.duplicates = null;
    await this.settle();
  }

  // Simulated users.

  private async submit(): Promise<void> {
    while (this.submitting) {
      const job = this.newJob();
      void this.runUser(job, this.random.chance(0.3) ? this.random.between(0, 12_000) : null);
      await delay(this.random.between(150, 700));
    }
  }

  private newJob(): JobSubmission {
    const profile = this.random.pick([SERVICE, BATCH, BATCH, BATCH, GANG]);
    const scale = this.size.teamLimit / SMALL.teamLimit;
    const arrayTasks = profile === BATCH ? this.random.int(1, Math.round(15 * scale)) : null;
    const job = {
      id: jobId(this.nextJob++),
      team: this.random.pick(TEAMS),
      cpus: 2,
      gpus: 0,
      memoryGb: 1,
      image: `img-${this.random.int(0, 2)}`,
      imageGb: 0.2,
      machineTypes: null,
      zone: null,
      durationS: this.random.between(0.5, 5),
      checkpointIntervalS: 0,
      saveS: 0,
      ...profile,
    };
    const serviceTasks = profile === SERVICE ? this.random.pick([1, 2]) : null;
    return { ...job, tasks: arrayTasks ?? serviceTasks ?? GANG.tasks };
  }

  private async runUser(job: JobSubmission, cancelAfterMs: number | null): Promise<void> {
    const { id } = job;
    const { invariants, clock } = this.services;
    const observed = observedJob(job, clock.time);
    invariants.jobs.set(id, observed);
    while (!(await this.request(id, submitRequest(job)))) await delay(USER_RETRY_MS);
    // Services never finish: without a cancellation they would use their team's CPUs until the end of the run.
    const effectiveCancelAfterMs =
      cancelAfterMs ?? (job.kind === 'service' ? this.random.between(8000, 20_000) : null);
    if (effectiveCancelAfterMs !== null)
      void this.cancelLater(id, observed, effectiveCancelAfterMs);
    while (observed.reportedDoneAt === null && observed.reportedCancelledAt === null) {
      await delay(this.random.between(200, 900));
      if (this.random.chance(0.1)) await this.request(id, submitRequest(job));
      else await this.request(id, pollRequest(id));
    }
  }

  private async cancelLater(id: string, observed: ObservedJob, afterMs: number): Promise<void> {
    await delay(afterMs);
    observed.cancelRequested = true;
    while (!(await this.request(id, cancelRequest(id)))) await delay(USER_RETRY_MS);
  }

  /** Sends the request to a random controller. Returns false if the request must be retried. */
  private async request(id: string, { method, path, body }: UserRequest): Promise<boolean> {
    const { invariants, clock } = this.services;
    const sentAt = clock.time - STEP_MARGIN_MS;
    const address = this.deployment.addressOf(this.random.pick(CONTROLLER_NAMES));
    const response = await this.services.sendToController(address, method, path, body);
    const isRejected = response.status === 400 || response.status === 422;
    if (isRejected) invariants.recordViolation('forgotten', `${id} got ${response.status}`);
    else if (response.status !== 0)
      invariants.recordResponse(id, decodeJobResponse(response), sentAt);
    return response.status === 200 || response.status === 201;
  }

  /** Waits until each job is reported done or cancelled and no task runs; records a violation for each that remains. */
  private async settle(): Promise<void> {
    const { invariants } = this.services;
    const deadline = performance.now() + SETTLE_TIMEOUT_MS;
    const unfinishedJobs = (): string[] =>
      [...invariants.jobs]
        .filter(
          ([, observed]) =>
            observed.reportedDoneAt === null && observed.reportedCancelledAt === null,
        )
        .map(([id]) => id);
    while (performance.now() < deadline && invariants.violations.length === 0) {
      if (unfinishedJobs().length === 0 && invariants.placesByTask.size === 0) return;
      await delay(200);
    }
    if (invariants.violations.length > 0) return;
    for (const id of unfinishedJobs()) invariants.recordViolation('not_over', id);
    for (const task of invariants.placesByTask.keys())
      invariants.recordViolation('left_over', task);
  }

  result(schedule: ScheduledFault[]): SoakResult {
    const { invariants } = this.services;
    for (const name of this.deployment.unexpectedExits()) invariants.recordViolation('ended', name);
    const logs = this.deployment.logs();
    // The service continues after it logs a violated invariant; a test must fail.
    for (const { name, text } of logs)
      if (text.includes(TEAM_USAGE_VIOLATION)) invariants.recordViolation('usage_fault', name);
    return {
      seed: this.seed,
      machines: 4 * this.size.machinesPerPool,
      jobs: invariants.jobs.size,
      starts: invariants.starts,
      terms: logs.reduce((count, { text }) => count + text.split(TERM_START_MARKER).length - 1, 0),
      peakShare: this.peakShare,
      violations: invariants.violations,
      schedule,
      logs: invariants.violations.length > 0 ? logs : [],
      history: this.history,
    };
  }
}

/** Runs the soak test with one seed. `program` is the path of a bundle of the controller. */
export async function runSoak(program: string, seed: number): Promise<SoakResult> {
  const size = sizeOf(seed);
  const deployment = await SoakDeployment.start(program, seed, size);
  try {
    const schedule = faultSchedule(seed, {
      controllers: CONTROLLER_NAMES.length,
      durationMs: FAULTS_MS,
      leaseMs: size.leaseS * 1000,
    });
    const run = new SoakRun(seed, size, deployment);
    await run.run(schedule);
    return run.result(schedule);
  } finally {
    await deployment.stop();
  }
}
