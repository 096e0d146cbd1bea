/**
 * When this entry last heard from the store. A process that was paused wakes
 * with an old view: its jobs may be cancelled and its shares may be another's.
 * It starts nothing before it has asked.
 */
import {DisposableStore} from '@oathead/core';
import {HEAD_KEY} from '@oathead/membership';
import type {Membership} from '@oathead/membership';
import type {BatchDeps} from '../request/job_intake.js';

const FRESH_MS = 6_000;
const PROBE_AFTER_MS = 2_000;

/** What is known of the store. */
export type Contact =
  /** It answered a moment ago. */
  | {readonly kind: 'up'}
  /** It was asked a moment ago, and did not answer. */
  | {readonly kind: 'down'; readonly sinceMs: number}
  /** It was not asked lately. */
  | {readonly kind: 'unknown'};

/** When this entry last heard from the store. */
export class StoreContact implements Disposable {
  private readonly store = new DisposableStore();
  private answered = -Infinity;
  private failed = -Infinity;
  private downSince: number | undefined;
  private probing = false;

  /**
   * @param deps - Store and clock.
   * @param membership - Its reads of the head count as well.
   */
  constructor(
    private readonly deps: BatchDeps,
    membership: Membership,
  ) {
    this.store.add(membership.onHead(() => this.noteAnswer()));
  }

  /** @returns What is known of the store now; asks it if that is old. */
  check(): Contact {
    const now = this.deps.clock.now();
    const asked = Math.max(this.answered, this.failed);
    if (now - asked > PROBE_AFTER_MS) void this.probe();
    if (now - asked > FRESH_MS) return {kind: 'unknown'};
    if (this.downSince === undefined) return {kind: 'up'};
    return {kind: 'down', sinceMs: now - this.downSince};
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  private async probe(): Promise<void> {
    if (this.probing) return;
    this.probing = true;
    const read = await this.deps.table.read([HEAD_KEY]);
    this.probing = false;
    if (read.ok) this.noteAnswer();
    else if (read.err.kind === 'unavailable') this.noteFailure();
  }

  private noteAnswer(): void {
    this.answered = this.deps.clock.now();
    this.downSince = undefined;
  }

  private noteFailure(): void {
    this.failed = this.deps.clock.now();
    this.downSince ??= this.failed;
  }
}
