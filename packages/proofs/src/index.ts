/**
 * The fault matrix, golden sessions and failure tests over real processes.
 *
 * @packageDocumentation
 */

export {};
