/**
 * Cluster membership of the entry processes: leases of entries, ownership of
 * shares of work with epochs as fencing tokens, and the head, the one row that
 * every entry polls to detect changes.
 *
 * @packageDocumentation
 */
export * from './lib/process/head_row.js';
export * from './lib/process/leased_membership.js';
export * from './lib/process/membership.js';
export * from './lib/process/membership_settings.js';
