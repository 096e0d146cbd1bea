/**
 * Leases of entries, shares of work with epochs, the one-row head that every
 * entry polls, and subsets of targets.
 *
 * @packageDocumentation
 */
export * from './lib/process/head_row.js';
export * from './lib/process/leased_membership.js';
export * from './lib/process/membership.js';
export * from './lib/process/membership_settings.js';
