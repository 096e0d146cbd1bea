/**
 * Writes rows about parts of prompts to the store: those of a short time at
 * once, again if the store does not take them, and removes them when they are
 * too old to count.
 */
import {
  CRASH_EVIDENCE_LIFETIME_MS,
  type Clock,
  type EventLog,
} from '@oathead/core';
import type {RowPut, RowRef, RowStore} from '@oathead/stores';
import {LRUCache} from 'lru-cache';
import {MAX_WRITES, WriteBackoff} from './write_backoff.js';

/** Evidence of this long is written at once, in milliseconds. */
const WRITE_INTERVAL_MS = 20;
const MAX_ROWS_PER_TRANSACTION = 100;
/** Maximum number of removed rows that are remembered. */
const MAX_REMOVED = 4096;

/** Dependencies of {@link SuspectRowWriter}. */
export interface SuspectRowWriterContext {
  readonly store: Pick<RowStore, 'transact'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Writes rows that never change. */
export class SuspectRowWriter {
  private pending: RowPut[] = [];
  private isWriteDue = false;
  /** Keys of rows that are gone, so that no late write brings them back. */
  private readonly removed = new LRUCache<string, true>({max: MAX_REMOVED});

  /** @param context - The store. */
  constructor(private readonly context: SuspectRowWriterContext) {}

  /** @param row - A row to write. */
  put(row: RowPut): void {
    this.removed.delete(row.key);
    this.pending.push(row);
    if (this.isWriteDue) return;
    this.isWriteDue = true;
    const {clock} = this.context;
    clock.after(WRITE_INTERVAL_MS, () => {
      this.isWriteDue = false;
      const puts = this.pending;
      this.pending = [];
      void this.write(puts, []);
      clock.after(CRASH_EVIDENCE_LIFETIME_MS, () => this.remove(puts));
    });
  }

  /** @param refs - Rows to remove. */
  remove(refs: readonly RowRef[]): void {
    for (const {key} of refs) this.noteRemoved(key);
    void this.write([], refs);
  }

  /** @param key - Key of a row that another host has removed. */
  noteRemoved(key: string): void {
    this.removed.set(key, true);
  }

  private async write(
    puts: readonly RowPut[],
    removes: readonly RowRef[],
  ): Promise<void> {
    const rows = Math.max(puts.length, removes.length);
    for (let i = 0; i < rows; i += MAX_ROWS_PER_TRANSACTION) {
      const end = i + MAX_ROWS_PER_TRANSACTION;
      await this.writeSome(puts.slice(i, end), removes.slice(i, end));
    }
  }

  private async writeSome(
    puts: readonly RowPut[],
    removes: readonly RowRef[],
  ): Promise<void> {
    const backoff = new WriteBackoff(this.context.clock);
    for (let i = 0; i < MAX_WRITES; i++) {
      const left = puts.filter(({key}) => !this.removed.has(key));
      const rows = left.length + removes.length;
      if (rows === 0) return;
      const written = await this.context.store.transact({
        expect: [],
        puts: left,
        removes,
      });
      if (written.ok) return;
      // Until then other hosts know only what they see themselves.
      const reason = written.err.kind;
      this.context.log.event('suspects-unwritten', {rows, reason});
      await backoff.wait();
    }
  }
}
