/**
 * Open-loop load and its report.
 *
 * @packageDocumentation
 */
export * from './lib/process/batch_beside.js';
export * from './lib/process/load_recorder.js';
export * from './lib/process/load_report.js';
export * from './lib/process/report_svg.js';
export * from './lib/process/report_text.js';
export * from './lib/process/run_load.js';
export * from './lib/request/api_sender.js';
export * from './lib/request/arrivals.js';
export * from './lib/request/send.js';
