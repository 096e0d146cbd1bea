/** Logs rows that cannot be read. */
import type {EventLog} from '@oathead/core';
import {LRUCache} from 'lru-cache';

/** Maximum number of unreadable rows remembered. */
const MAX_UNREADABLE_ROWS = 1000;

/**
 * Logs each unreadable row once, as its writer may write it again with each
 * heartbeat.
 */
export class UnreadableRows {
  /** Last logged error by key. */
  private readonly errors = new LRUCache<string, string>({
    max: MAX_UNREADABLE_ROWS,
  });

  /**
   * @param log - Receives the events.
   * @param event - Name of the events.
   */
  constructor(
    private readonly log: EventLog,
    private readonly event: string,
  ) {}

  /**
   * @param key - Key of a row that cannot be read.
   * @param message - Why it cannot.
   */
  report(key: string, message: string): void {
    if (this.errors.get(key) === message) return;
    this.errors.set(key, message);
    this.log.event(this.event, {key, message});
  }

  /** @param key - Key of a row that has been read. */
  recordReadable(key: string): void {
    this.errors.delete(key);
  }
}
