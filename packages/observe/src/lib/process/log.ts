/** Logs by `debug`: lines only for changes of state, on with `DEBUG=oathead:*`. */
import debug from 'debug';

/** Writes one line. */
export type Log = (format: string, ...values: readonly unknown[]) => void;

/**
 * @param area - What part of the system writes, such as `entry:links`.
 * @returns A log of that area.
 */
export function logOf(area: string): Log {
  return debug(`oathead:${area}`);
}
