/** The duties: kinds of work for the whole cluster, each performed by at most one controller at a time. */

/**
 * - `rent`: requests machines from the cloud.
 * - `return`: deletes idle machines.
 * - `reclaim`: deletes machines that are unreachable, faulty or failed to boot, so that tasks can start elsewhere.
 * - `clean-up`: removes records that are no longer needed.
 */
export const DUTIES = ['rent', 'return', 'reclaim', 'clean-up'] as const;

/** The name of a duty, as used in records, in settings and by operators. */
export type Duty = (typeof DUTIES)[number];

/** Whether a duty with this name exists. */
export function isDuty(name: string): name is Duty {
  return (DUTIES as readonly string[]).includes(name);
}
