/**
 * Decision logic of oathead, free of I/O: clocks and randomness are passed in
 * by the caller. This package is the public API for embedding.
 *
 * @packageDocumentation
 */
export * from './lib/connection/connection_machine.js';
export * from './lib/connection/load_baselines.js';
export * from './lib/connection/pace_meter.js';
export * from './lib/connection/service_speeds.js';
export * from './lib/connection/socket_address.js';
export * from './lib/connection/subset.js';
export * from './lib/connection/target_choice.js';
export * from './lib/connection/target_health.js';
export * from './lib/connection/target_link.js';
export * from './lib/connection/target_machine.js';
export * from './lib/process/account_shares.js';
export * from './lib/connection/target_speed.js';
export * from './lib/process/admission.js';
export * from './lib/process/batch_controller.js';
export * from './lib/process/caller_limits.js';
export * from './lib/process/clock.js';
export * from './lib/process/counters.js';
export * from './lib/process/disposable_store.js';
export * from './lib/process/target_admission.js';
export * from './lib/process/engine_client.js';
export * from './lib/process/engine_observer.js';
export * from './lib/process/event_log.js';
export * from './lib/process/freshness_lease.js';
export * from './lib/process/interference_meter.js';
export * from './lib/process/hash.js';
export * from './lib/process/load_report.js';
export * from './lib/process/max_min_share.js';
export * from './lib/process/memoized_transition.js';
export * from './lib/process/online_limiter.js';
export * from './lib/process/order.js';
export * from './lib/process/outcome.js';
export * from './lib/process/overload_forecast.js';
export * from './lib/process/part_suspicion.js';
export * from './lib/process/quota_enforcer.js';
export * from './lib/process/quota_ledger.js';
export * from './lib/process/quota_reserve.js';
export * from './lib/process/quota_tolerance.js';
export * from './lib/process/random.js';
export * from './lib/process/retry_scheduler.js';
export * from './lib/process/running_set.js';
export * from './lib/process/share_division.js';
export * from './lib/process/service_latency.js';
export * from './lib/process/share_lease_machine.js';
export * from './lib/process/step_detector.js';
export * from './lib/process/step_model.js';
export * from './lib/request/batch_item.js';
export * from './lib/request/item_machine.js';
export * from './lib/request/job_machine.js';
export * from './lib/request/late_slots.js';
export * from './lib/request/refusal.js';
export * from './lib/request/retry_policy.js';
export * from './lib/request/return_schedule.js';
export * from './lib/request/serve.js';
export * from './lib/request/target_request_machine.js';
export * from './lib/request/queue_limits.js';
export * from './lib/request/work.js';
export * from './lib/request/work_fingerprint.js';
export * from './lib/version/client_account.js';
export * from './lib/version/key_index.js';
export * from './lib/version/resource.js';
export * from './lib/version/rollout_machine.js';
export * from './lib/version/target_config.js';
