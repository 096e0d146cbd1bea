/**
 * Leases of entries, shares of work with epochs, the one-row head that every
 * entry polls, and subsets of targets.
 *
 * @packageDocumentation
 */
export * from './lib/process/membership.js';
