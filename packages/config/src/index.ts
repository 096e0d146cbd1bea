/**
 * What operators declare: resources with conflicts and watch, convergence, rollouts.
 *
 * @packageDocumentation
 */
export * from './lib/connection/watch.js';
export * from './lib/connection/watch_frame.js';
export * from './lib/process/config_cache.js';
export type {ConfigPeers} from './lib/process/config_gossip.js';
export * from './lib/process/config_reader.js';
export * from './lib/process/config_rows.js';
export * from './lib/process/config_store.js';
export {DEFAULT_LOG_LENGTH} from './lib/process/config_writer.js';
export type {ConfigStoreOptions} from './lib/process/config_writer.js';
export * from './lib/process/order_fence.js';
export * from './lib/process/rollout_leader.js';
export * from './lib/process/status_board.js';
export * from './lib/request/resource_api.js';
export * from './lib/request/resource_request.js';
export * from './lib/version/change.js';
export * from './lib/version/conditions.js';
export * from './lib/version/fleet_view.js';
export * from './lib/version/problems.js';
export * from './lib/version/references.js';
export * from './lib/version/rollout_plan.js';
export * from './lib/version/rollout_step.js';
export * from './lib/version/spec_schema.js';
export * from './lib/version/status_report.js';
export * from './lib/version/target_config_for.js';
