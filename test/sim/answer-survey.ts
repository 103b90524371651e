/** Polls a job at given controllers at a fixed interval, and counts the answers. */
import type { Cluster } from './cluster.js';
import type { JobResponse } from './wire/users.js';

const POLL_INTERVAL_S = 0.3;

/** The answers to the polls of a survey. */
export interface AnswerSurvey {
  polls: number;
  /** Number of polls that got the job's state, and a state that is not older than allowed. */
  right: number;
}

/** Runs the cluster for this virtual time; `job` is polled at each of the controllers. */
export async function surveyAnswers(
  cluster: Cluster,
  job: string,
  controllers: readonly string[],
  seconds: number,
): Promise<AnswerSurvey> {
  const survey = { polls: 0, right: 0 };
  for (let passedS = 0; passedS < seconds; passedS += POLL_INTERVAL_S) {
    for (const controller of controllers) {
      survey.polls++;
      const sentAt = cluster.clock.time;
      void cluster.users.poll(job, controller).then((response) => {
        if (isRight(cluster, response, sentAt)) survey.right++;
      });
    }
    await cluster.run(POLL_INTERVAL_S);
  }
  await cluster.run(3);
  return survey;
}

function isRight({ invariants }: Cluster, { job }: JobResponse, sentAt: number): boolean {
  if (!job) return false;
  const { id, state } = job;
  if (state !== 'pending' && state !== 'running') return true;
  return invariants.activity.staleness(id, state, sentAt) === null;
}

/** Returns the violations that tell of answers older than allowed. */
export function staleAnswers(cluster: Cluster): string[] {
  return cluster.invariants.violations.filter((violation) => violation.includes('stale_answer'));
}
