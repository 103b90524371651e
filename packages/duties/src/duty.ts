/** The duties: singleton tasks, each performed by exactly one controller at a time. */

/**
 * - `rent`: requests machines from the cloud.
 * - `return`: deletes machines that stand idle.
 * - `reclaim`: deletes machines that are dead, so that their tasks can start elsewhere.
 * - `clean-up`: removes records that nobody needs any more.
 */
export const DUTIES = ['rent', 'return', 'reclaim', 'clean-up'] as const;

/** The name of a duty, as records, settings and operators write it. */
export type Duty = (typeof DUTIES)[number];

/** Whether some duty has this name. */
export function isDuty(name: string): name is Duty {
  return (DUTIES as readonly string[]).includes(name);
}
