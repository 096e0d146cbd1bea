/**
 * Structured logs on standard output: a line of JSON for each event.
 *
 * Guards against a reader of the output that has stopped reading, or a flood of
 * events: lines wait in a bounded buffer, and what does not fit is dropped and
 * counted; the process never waits for its log.
 */
import type {Counters, EventFields, EventLog} from '@oathead/core';
import {destination, pino, stdTimeFunctions} from 'pino';

/** How lines are written. */
export interface JsonLogOptions {
  /** Which process writes, in each line. */
  readonly process: Readonly<Record<string, string>>;
  /** Bytes that wait to be written at the most. */
  readonly maxBufferBytes: number;
  /** Where to write: a file descriptor. */
  readonly fd: number;
}

/** A second of a busy process's lines, some 200 bytes each. */
export const DEFAULT_LOG_BUFFER_BYTES = 1024 * 1024;

/** A log that can be written out before the process ends. */
export interface FlushableEventLog extends EventLog {
  /** Writes what waits, at once. */
  flush(): void;
}

/**
 * @param options - Who writes, and where.
 * @param counters - Counts lines that were dropped.
 * @returns A log that never blocks.
 */
export function jsonEventLog(
  options: JsonLogOptions,
  counters: Counters,
): FlushableEventLog {
  const output = destination({
    fd: options.fd,
    sync: false,
    maxLength: options.maxBufferBytes,
  });
  output.on('drop', () => counters.count('log_lines_dropped'));
  const logger = pino(
    {
      base: options.process,
      timestamp: stdTimeFunctions.isoTime,
      messageKey: 'event',
    },
    output,
  );
  return {
    event: (name: string, fields: EventFields = {}) =>
      logger.info(fields, name),
    flush: () => output.flushSync(),
  };
}
