/**
 * Interfaces to the platform (table, objects, weights, host list), in memory
 * and over HTTP.
 *
 * @packageDocumentation
 */
export {DEFAULT_STORE_CONNECTION} from './lib/connection/store_connection.js';
export * from './lib/process/commit_with_nonce.js';
export * from './lib/process/host_list.js';
export * from './lib/process/http_platform.js';
export * from './lib/process/memory_hosts.js';
export * from './lib/process/memory_objects.js';
export * from './lib/process/memory_platform.js';
export * from './lib/process/memory_table.js';
export * from './lib/process/memory_weights.js';
export * from './lib/process/nonces.js';
export * from './lib/process/object_store.js';
export * from './lib/process/platform.js';
export * from './lib/process/table_store.js';
export * from './lib/process/weight_store.js';
export * from './lib/process/relayed_row_store.js';
export * from './lib/process/row_store.js';
export * from './lib/process/store_time.js';
export * from './lib/process/row_json.js';
export * from './lib/process/table_watch.js';
export * from './lib/process/memory_row_store.js';
