/**
 * Debug logs by the `debug` package. They record changes of state only and are
 * enabled with `DEBUG=oathead:*`.
 */
import debug from 'debug';

/** Writes one line, with the format placeholders of the `debug` package. */
export type DebugLog = (format: string, ...values: readonly unknown[]) => void;

/**
 * @param area - Component that writes the log, such as `entry:links`. Appended
 *     to the `oathead:` namespace.
 * @returns The debug log of that component.
 */
export function createDebugLog(area: string): DebugLog {
  return debug(`oathead:${area}`);
}
