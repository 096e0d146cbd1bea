/**
 * Interfaces to the platform (table, objects, weights, host list), in memory
 * and over HTTP.
 *
 * @packageDocumentation
 */
export * from './lib/process/host_list.js';
export * from './lib/process/object_store.js';
export * from './lib/process/table_store.js';
export * from './lib/process/weight_store.js';
