/**
 * The process beside each target, the only way into its engine.
 *
 * @packageDocumentation
 */
import {runMain} from './lib/process/main.js';
import {MAIN_PARTS} from './lib/process/main_parts.js';

export * from './lib/process/admission_driver.js';
export * from './lib/process/daemon.js';
export * from './lib/process/main.js';
export * from './lib/process/main_parts.js';
export * from './lib/process/target_service.js';
export * from './lib/process/target_settings.js';

/**
 * Runs `oathead-target`.
 *
 * @param argv - Arguments behind the name of the program.
 * @returns The exit code.
 */
export function main(argv: readonly string[]): Promise<number> {
  return runMain(argv, MAIN_PARTS);
}
