/** Pulls what a node lacks of the configuration from the table. */
import {sleep} from '@oathead/core';
import type {Clock, ConfigSnapshot, Counters} from '@oathead/core';
import type {Change} from '../version/change.js';
import type {ConfigReader} from './config_reader.js';

/** What is pulled into. */
export interface PullSink {
  /** @returns The revision that is known now. */
  revision(): number;
  /** Takes changes in that follow it. */
  offer(changes: readonly Change[]): void;
  /** Takes everything in, if it is newer. */
  adoptSnapshot(snapshot: ConfigSnapshot): void;
}

/** A larger gap is closed by reading everything. */
const MAX_GAP = 1_000;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** Pulls until the highest revision heard of is known. */
export class ConfigPuller implements Disposable {
  private wanted = 0;
  private stopped = false;
  private running = false;

  /**
   * @param reader - Reads the table.
   * @param sink - What is pulled into.
   * @param clock - What to wait on after a failure.
   * @param counters - Counts failures.
   */
  constructor(
    private readonly reader: ConfigReader,
    private readonly sink: PullSink,
    private readonly clock: Clock,
    private readonly counters: Counters,
  ) {}

  /**
   * Pulls in the background, through outages, if a revision is new.
   *
   * @param revision - A revision that was heard of.
   */
  hint(revision: number): void {
    this.wanted = Math.max(this.wanted, revision);
    if (this.behind && !this.running) void this.run();
  }

  /**
   * Pulls once.
   *
   * @returns Whether the node is as new as the store was at the call.
   */
  async refresh(): Promise<boolean> {
    const read = await this.reader.head();
    if (!read.ok) return false;
    const {cfg} = read.value.head;
    this.wanted = Math.max(this.wanted, cfg);
    if (cfg > this.sink.revision()) await this.pull();
    return this.sink.revision() >= cfg;
  }

  [Symbol.dispose](): void {
    this.stopped = true;
  }

  private get behind(): boolean {
    return this.wanted > this.sink.revision() && !this.stopped;
  }

  private async run(): Promise<void> {
    this.running = true;
    let backoff = FIRST_BACKOFF_MS;
    while (this.behind) {
      if (await this.pull()) continue;
      await sleep(this.clock, backoff);
      backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
    }
    this.running = false;
  }

  /** @returns Whether it came further. */
  private async pull(): Promise<boolean> {
    const since = this.sink.revision();
    if (this.wanted - since > MAX_GAP) return this.readAnew();
    const pulled = await this.reader.changes(since, this.wanted);
    if (pulled.ok) {
      this.sink.offer(pulled.value);
      return this.sink.revision() > since;
    }
    const {kind} = pulled.err;
    return kind === 'gone' ? this.readAnew() : this.failed(kind);
  }

  /**
   * Reads everything, unless the store is no further than this node: then what
   * told of a higher revision was wrong, and is forgotten.
   */
  private async readAnew(): Promise<boolean> {
    const since = this.sink.revision();
    const read = await this.reader.head();
    if (!read.ok) return this.failed(read.err.kind);
    if (read.value.head.cfg <= since) {
      this.wanted = since;
      return this.failed('wrong-hint');
    }
    const all = await this.reader.snapshot();
    if (!all.ok) return this.failed(all.err.kind);
    this.sink.adoptSnapshot(all.value);
    return this.sink.revision() > since;
  }

  private failed(cause: string): false {
    this.counters.count('config_pull_failed', {cause});
    return false;
  }
}
