/** Bounds that several promises share. */

/** How long after its job was first sent an item may be given up, by its route,
 * in milliseconds. */
export const RETENTION_MS = 60_000;
