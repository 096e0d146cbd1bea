/**
 * The contract between an entry and a target process: tRPC router, schemas and
 * link.
 *
 * @packageDocumentation
 */
export * from './lib/connection/channel.js';
export * from './lib/connection/event_queue.js';
export * from './lib/connection/heartbeat_schema.js';
export * from './lib/connection/link_channel.js';
export * from './lib/connection/link_connection.js';
export * from './lib/connection/trpc_target_link.js';
export * from './lib/process/load_change.js';
export * from './lib/process/load_report_schema.js';
export * from './lib/process/order_schema.js';
export * from './lib/process/target_handler.js';
export * from './lib/process/target_router.js';
export * from './lib/process/wire_server.js';
export * from './lib/request/attachment.js';
export * from './lib/request/refusal_schema.js';
export * from './lib/request/serve_schema.js';
export * from './lib/request/work_schema.js';
export * from './lib/version/target_config_schema.js';
