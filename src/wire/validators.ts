/** Checks of single fields of received bodies. */

const MAX_TEXT_LENGTH = 120;
const MAX_AMOUNT = 1e9;

/** Whether the value is a non-empty string that is short enough to be stored. */
export const isText = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_TEXT_LENGTH;

/**
 * Whether the value is a non-negative number that is small enough for the rounding errors in sums of such numbers to
 * stay negligible.
 */
export const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0 && value < MAX_AMOUNT;

/** Whether the value is a boolean; a missing value is not accepted. */
export const isBoolean = (value: unknown): value is boolean => typeof value === 'boolean';
