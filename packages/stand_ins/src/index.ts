/**
 * Stand-ins for the outside systems, with fault switches: model engine, plain service and platform.
 *
 * @packageDocumentation
 */
export * from './lib/process/engine_events.js';
export * from './lib/process/engine_faults.js';
export * from './lib/process/engine_model.js';
export * from './lib/process/engine_options.js';
export type {ModelRequest} from './lib/process/engine_sequence.js';
export * from './lib/process/engine_stand_in.js';
export * from './lib/process/engine_text.js';
export * from './lib/process/fake_engine.js';
export * from './lib/process/fake_service.js';
export * from './lib/process/faulty_platform.js';
export type {LoadSample, ModelLoad} from './lib/process/load_samples.js';
export * from './lib/process/platform_stand_in.js';
export {prefixBlocks, type CacheExport} from './lib/process/prefix_cache.js';
export * from './lib/process/scaled_clock.js';
export * from './lib/process/served_models.js';
export * from './lib/process/service_stand_in.js';
export * from './lib/process/store_faults.js';
export * from './lib/process/virtual_clock.js';
