/** Watching the configuration: every change once, in order, resumable. */
import {failure, notRun, sleep, success} from '@oathead/core';
import type {Clock, Outcome, Refusal, ResourceKind} from '@oathead/core';
import type {ConfigCache} from '../process/config_cache.js';
import type {Change} from '../version/change.js';

const RETRY_MS = 500;

/** What a watch tells. */
export type WatchEvent =
  | Change
  /** The last event of a watch that fell behind the log: list, start anew. */
  | {readonly type: 'gone'; readonly refusal: Refusal};

/** What is to be watched. */
export interface WatchOptions {
  /** Tells every change after this revision; without it, from now on. */
  readonly since?: number;
  /** Only resources of this kind; all without it. */
  readonly kind?: ResourceKind;
}

type Next =
  | {readonly kind: 'changes'; readonly changes: readonly Change[]}
  | {readonly kind: 'retry'}
  | {readonly kind: 'gone'};

/**
 * Watches the configuration through a node's cache; what the cache no longer
 * holds is read from the log. Nothing is kept for a watcher but the last
 * revision it was told of. So a slow one costs nothing, and one whose
 * connection was cut resumes at any entry with the last revision that it saw:
 * revisions have no gaps, so none is lost and none repeated.
 */
export class Watch {
  /**
   * @param cache - The node's configuration.
   * @param clock - What to wait on while the store is down.
   */
  constructor(
    private readonly cache: ConfigCache,
    private readonly clock: Clock,
  ) {}

  /**
   * Begins to watch.
   *
   * @param options - What is to be watched.
   * @param signal - Ends the watch when aborted.
   * @returns The events, or `gone` where the log no longer reaches back to
   *     `since`.
   */
  async open(
    options: WatchOptions,
    signal: AbortSignal,
  ): Promise<Outcome<AsyncIterable<WatchEvent>, Refusal>> {
    const fresh = await this.cache.refresh();
    const {revision} = this.cache.current();
    const since = options.since ?? revision;
    // An entry that could not catch up may be behind the watcher: it waits.
    if (fresh && since > revision) return failure(gone(since));
    const first = await this.next(since);
    if (first.kind === 'gone') return failure(gone(since));
    return success(this.events(since, options.kind, signal));
  }

  private async *events(
    since: number,
    kind: ResourceKind | undefined,
    signal: AbortSignal,
  ): AsyncGenerator<WatchEvent> {
    let last = since;
    while (!signal.aborted) {
      const next = await this.next(last);
      if (next.kind === 'gone') {
        yield {type: 'gone', refusal: gone(last)};
        return;
      }
      if (next.kind === 'retry') {
        await sleep(this.clock, RETRY_MS, signal);
        continue;
      }
      for (const change of next.changes) {
        if (signal.aborted) return;
        last = change.revision;
        if (!kind || change.resource.kind === kind) yield change;
      }
      await this.moved(last, signal);
    }
  }

  private async next(since: number): Promise<Next> {
    const changes = this.cache.recentSince(since);
    if (changes) return {kind: 'changes', changes};
    const read = await this.cache.logSince(since);
    if (read.ok) return {kind: 'changes', changes: read.value};
    return {kind: read.err.kind === 'gone' ? 'gone' : 'retry'};
  }

  /** Resolves when the configuration is beyond a revision, or on abort. */
  private moved(revision: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const moved = () => this.cache.current().revision > revision;
      if (moved() || signal.aborted) {
        resolve();
        return;
      }
      const done = () => {
        if (!moved() && !signal.aborted) return;
        listening[Symbol.dispose]();
        signal.removeEventListener('abort', done);
        resolve();
      };
      const listening = this.cache.onAdopt(done);
      signal.addEventListener('abort', done);
    });
  }
}

function gone(since: number): Refusal {
  const message = `revision ${since} cannot be resumed from; list the resources and watch from the list's revision`;
  return notRun('gone', message);
}
