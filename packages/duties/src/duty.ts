/** The duties that exactly one controller performs at a time. */

/**
 * - `rent`: rents machines.
 * - `return`: gives back machines that nothing needs.
 * - `reclaim`: deletes machines that are silent, so that their work can start elsewhere.
 * - `clean-up`: removes records that nobody needs any more.
 */
export const DUTIES = ['rent', 'return', 'reclaim', 'clean-up'] as const;

export type Duty = (typeof DUTIES)[number];

export function isDuty(name: string): name is Duty {
  return (DUTIES as readonly string[]).includes(name);
}
