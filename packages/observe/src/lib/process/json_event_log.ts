/**
 * Structured log that writes each event as one line of JSON.
 *
 * Writing never blocks the process, even if the reader of the output stops
 * reading or events arrive faster than they can be written: lines are queued in
 * a bounded buffer, and lines that do not fit are dropped and counted.
 */
import type {Counters, EventFields, EventLog} from '@oathead/core';
import {destination, pino, stdTimeFunctions} from 'pino';

/** Options of {@link jsonEventLog}. */
export interface JsonLogOptions {
  /** Fields that identify the process; included in each line. */
  readonly process: Readonly<Record<string, string>>;
  /** Maximum size of the queue of unwritten lines, in bytes. */
  readonly maxBufferBytes: number;
  /** File descriptor to write to. */
  readonly fd: number;
}

/** Holds about one second of lines of a busy process, at 200 bytes each. */
export const DEFAULT_LOG_BUFFER_BYTES = 1024 * 1024;

/** An event log that can be flushed before the process exits. */
export interface FlushableEventLog extends EventLog {
  /** Writes all queued lines synchronously. */
  flush(): void;
}

/**
 * Creates a JSON event log.
 *
 * @param options - Process fields, buffer size and file descriptor.
 * @param counters - Receives `log_lines_dropped`, the number of dropped lines.
 * @returns A log whose `event` method never blocks.
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
