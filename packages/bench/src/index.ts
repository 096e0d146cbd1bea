/**
 * Benches: policy, slopes and load.
 *
 * @packageDocumentation
 */

export {};
