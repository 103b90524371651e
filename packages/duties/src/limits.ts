/** Limits of one request to the cloud. */

/** Machines that one request may ask for. */
export const MAX_MACHINES_PER_REQUEST = 50;

/** Machines that one deletion may name. */
export const MAX_MACHINES_PER_DELETION = 100;
