/** Limits on the size of one request to the cloud. */

/** Maximum number of machines that one request may rent. */
export const MAX_MACHINES_PER_REQUEST = 50;

/** Maximum number of machines that one request may delete. */
export const MAX_MACHINES_PER_DELETION = 100;
