/**
 * When this entry last heard from the store. A process that was paused, or cut
 * off, comes back with an old view: its jobs may be cancelled and its shares may
 * be another's. It starts nothing before it has caught up.
 */
import {HEAD_KEY} from '@oathead/membership';
import type {BatchDeps} from '../request/job_intake.js';

const FRESH_MS = 6_000;
const PROBE_AFTER_MS = 2_000;

/** What is known of the store. */
export type Contact =
  /** This entry was up to date a moment ago. */
  | {readonly kind: 'up'}
  /** The store was asked a moment ago, and did not answer. */
  | {readonly kind: 'down'; readonly sinceMs: number}
  /** It was not asked lately, or there is something to catch up with. */
  | {readonly kind: 'unknown'};

/** When this entry last heard from the store. */
export class StoreContact {
  private current = -Infinity;
  private failed = -Infinity;
  private downSince: number | undefined;
  private probing = false;

  /** @param deps - Store and clock. */
  constructor(private readonly deps: BatchDeps) {}

  /** Takes in that this entry knows all that the store told just now. */
  noteCurrent(): void {
    this.current = this.deps.clock.now();
    this.downSince = undefined;
  }

  /** @returns What is known of the store now; asks it if that is old. */
  check(): Contact {
    const now = this.deps.clock.now();
    const known = Math.max(this.current, this.failed);
    if (now - known > PROBE_AFTER_MS) void this.probe();
    if (now - known > FRESH_MS) return {kind: 'unknown'};
    if (this.downSince === undefined) return {kind: 'up'};
    return {kind: 'down', sinceMs: now - this.downSince};
  }

  private async probe(): Promise<void> {
    if (this.probing) return;
    this.probing = true;
    const read = await this.deps.table.read([HEAD_KEY]);
    this.probing = false;
    if (read.ok) this.failed = -Infinity;
    else if (read.err.kind === 'unavailable') {
      this.failed = this.deps.clock.now();
      this.downSince ??= this.failed;
    }
  }
}
