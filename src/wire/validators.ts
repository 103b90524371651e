/** Checks of single fields of bodies that come from outside. */

export const isText = (v: unknown): v is string =>
  typeof v === 'string' && v.length > 0 && v.length <= 120;

export const isAmount = (v: unknown): v is number =>
  typeof v === 'number' && Number.isFinite(v) && v >= 0 && v < 1e9;

export const isFlag = (v: unknown): v is boolean => typeof v === 'boolean';
