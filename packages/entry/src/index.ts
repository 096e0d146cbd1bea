/**
 * The process on each entry host: the API of callers and operators, admission,
 * choice of target, retries.
 *
 * @packageDocumentation
 */
export * from './lib/connection/fleet.js';
export * from './lib/connection/peer_link.js';
export * from './lib/connection/peer_router.js';
export * from './lib/process/entry.js';
export * from './lib/process/entry_process.js';
export * from './lib/process/entry_settings.js';
export * from './lib/process/run_entry.js';
export * from './lib/request/api.js';
