/**
 * Gateway for online requests: matches a request to a route, chooses a target
 * of the service, retries, streams responses, reports readiness and drains on
 * planned stops. The configuration, the list of targets and the headers on the
 * wire are supplied through interfaces.
 *
 * @packageDocumentation
 */
export * from './lib/connection/connection_pool.js';
export * from './lib/connection/host_socket.js';
export * from './lib/connection/load_exchange.js';
export * from './lib/connection/load_message.js';
export * from './lib/connection/load_intervals.js';
export * from './lib/connection/placement_exchange.js';
export * from './lib/connection/placement_message.js';
export * from './lib/connection/quota_exchange.js';
export * from './lib/connection/quota_message.js';
export * from './lib/connection/speed_exchange.js';
export * from './lib/connection/speed_message.js';
export * from './lib/connection/stream_version_exchange.js';
export * from './lib/connection/stream_version_message.js';
export * from './lib/connection/target.js';
export * from './lib/connection/target_connection.js';
export * from './lib/process/account_quotas.js';
export * from './lib/process/ahead_record.js';
export * from './lib/process/announced_targets.js';
export * from './lib/process/caller_admission.js';
export * from './lib/process/caller_server.js';
export * from './lib/process/caller_retry_detector.js';
export * from './lib/process/coordinator.js';
export * from './lib/process/crash_records.js';
export * from './lib/process/crash_suspects.js';
export * from './lib/process/front_server.js';
export * from './lib/process/preferred_targets.js';
export * from './lib/process/late_queue.js';
export * from './lib/process/lifecycle.js';
export * from './lib/process/item_view.js';
export * from './lib/process/load_table.js';
export * from './lib/process/placement_outcome.js';
export * from './lib/process/load_reporter.js';
export * from './lib/process/member.js';
export * from './lib/process/membership.js';
export * from './lib/process/placement.js';
export * from './lib/process/prompt_parts.js';
export * from './lib/process/prompt_suspects.js';
export * from './lib/process/readiness_server.js';
export * from './lib/process/recorded_streams.js';
export * from './lib/process/return_promises.js';
export * from './lib/process/service_health.js';
export * from './lib/process/service_overload.js';
export * from './lib/process/share_admission.js';
export * from './lib/process/speed_reporter.js';
export * from './lib/process/staying_hosts.js';
export * from './lib/process/suspect_table.js';
export * from './lib/process/stream_record.js';
export * from './lib/process/stream_record_rows.js';
export * from './lib/process/stream_lifetime.js';
export * from './lib/process/stream_versions.js';
export * from './lib/process/item_target_chooser.js';
export * from './lib/process/target_chooser.js';
export * from './lib/process/target_directory.js';
export * from './lib/process/target_score.js';
export * from './lib/process/target_speeds.js';
export * from './lib/process/target_suspensions.js';
export * from './lib/process/wanted_version.js';
export * from './lib/request/admitted_request.js';
export * from './lib/request/exchange.js';
export * from './lib/request/forwarded_headers.js';
export * from './lib/request/online_request.js';
export * from './lib/request/pick_service.js';
export * from './lib/request/request_trace.js';
export * from './lib/request/run_evidence.js';
export * from './lib/request/run_progress.js';
export * from './lib/request/stream_events.js';
export * from './lib/request/target_protocol.js';
export * from './lib/request/target_send.js';
export * from './lib/version/account_table.js';
export * from './lib/version/route_matcher.js';
export * from './lib/version/routing_state.js';
export * from './lib/version/routing_table.js';
