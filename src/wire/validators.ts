/** Checks of single fields of bodies that come from outside. */

const MAX_TEXT_LENGTH = 120;
const MAX_AMOUNT = 1e9;

/** A text that is not empty, and of a length that may be kept. */
export const isText = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_TEXT_LENGTH;

/** A number that is not negative, and of a size with which sums stay exact enough. */
export const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0 && value < MAX_AMOUNT;

/** A truth value, present. */
export const isBoolean = (value: unknown): value is boolean => typeof value === 'boolean';
