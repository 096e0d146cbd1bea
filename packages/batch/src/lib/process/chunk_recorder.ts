/**
 * Records what has happened in chunks: outcomes in an object, then the chunk's
 * row, in a transaction that is conditional on the share's row (the holder is
 * the holder still), the chunk's row (no outcome is overwritten) and the job's
 * row (a cancelled job is noticed before anything more of it is recorded).
 */
import {sleep} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import {commitWithNonce, stampNonce} from '@oathead/stores';
import type {
  CommitOutcome,
  JsonObject,
  Row,
  RowCheck,
  StoreError,
} from '@oathead/stores';
import {encodeJson} from '../request/job_content.js';
import type {BatchDeps} from '../request/job_intake.js';
import {chunkKey, jobKey, rowJson} from '../request/job_rows.js';
import type {BatchSettings} from './batch_settings.js';
import type {ChunkWork, StoredOutcome} from './chunk_work.js';
import type {JobBoard} from './job_board.js';

/** Told of what became of a record. */
export interface RecorderListener {
  /** These items may be sent: a row says that they are started. */
  claimed(chunk: ChunkWork, items: readonly number[]): void;
  /** The share is another's: the chunk is to be given up. */
  fenced(chunk: ChunkWork): void;
  /** The chunk's row was written. */
  recorded(chunk: ChunkWork): void;
}

const RETRY_MS = 500;

/** Records what has happened in chunks. */
export class ChunkRecorder {
  private readonly writing = new Map<ChunkWork, Promise<void>>();
  private readonly lastOutcomes = new WeakMap<ChunkWork, number>();

  /**
   * @param deps - Stores, clock, randomness and counters.
   * @param settings - When to record.
   * @param membership - Where fences come from.
   * @param board - Where versions of jobs come from.
   * @param listener - Told of what became of a record.
   */
  constructor(
    private readonly deps: BatchDeps,
    private readonly settings: BatchSettings,
    private readonly membership: Membership,
    private readonly board: JobBoard,
    private readonly listener: RecorderListener,
  ) {}

  /**
   * Records a chunk if it is time to, and goes on while it is.
   *
   * @param chunk - The chunk.
   */
  kick(chunk: ChunkWork): void {
    if (this.writing.has(chunk) || !this.due(chunk)) return;
    void this.run(chunk, false);
  }

  /**
   * Records all that is not recorded of a chunk.
   *
   * @param chunk - The chunk.
   * @returns Resolves when it is done, or the chunk was dropped.
   */
  async flush(chunk: ChunkWork): Promise<void> {
    while (!chunk.dropped.signal.aborted && isUnwritten(chunk)) {
      await (this.writing.get(chunk) ?? this.run(chunk, true));
    }
  }

  private run(chunk: ChunkWork, all: boolean): Promise<void> {
    const more = () => (all ? isUnwritten(chunk) : this.due(chunk));
    const work = async () => {
      while (!chunk.dropped.signal.aborted && more()) {
        await this.writeOnce(chunk, all || this.outcomesDue(chunk));
      }
      this.writing.delete(chunk);
    };
    const done = work();
    this.writing.set(chunk, done);
    return done;
  }

  private due(chunk: ChunkWork): boolean {
    return chunk.claims.size > 0 || this.outcomesDue(chunk);
  }

  private outcomesDue(chunk: ChunkWork): boolean {
    if (chunk.finished && !chunk.closed) return true;
    const now = this.deps.clock.now();
    const {recordOutcomes, recordMs, recordPauseMs} = this.settings;
    const last = this.lastOutcomes.get(chunk) ?? -Infinity;
    if (now - last < recordPauseMs) return false;
    if (chunk.urgent || chunk.unrecorded.size >= recordOutcomes) return true;
    return now - chunk.unrecordedSince >= recordMs;
  }

  /**
   * @param withOutcomes - Whether outcomes go along. A claim alone does not
   *     take them along: they would cost an object each time.
   */
  private async writeOnce(
    chunk: ChunkWork,
    withOutcomes: boolean,
  ): Promise<void> {
    const outcomes = new Set(withOutcomes ? chunk.unrecorded.keys() : []);
    const claims = new Set(chunk.claims);
    if (withOutcomes) {
      chunk.urgent = false;
      this.lastOutcomes.set(chunk, this.deps.clock.now());
    }
    const object = await this.putOutcomes(chunk, outcomes);
    if (chunk.dropped.signal.aborted) return;
    const value = rowJson(chunk.nextRow(outcomes, claims, object));
    const stored = await this.writeRow(chunk, value);
    if (stored === undefined || chunk.dropped.signal.aborted) return;
    chunk.commit(stored, outcomes, this.deps.clock.now());
    for (const index of claims) chunk.claims.delete(index);
    this.listener.claimed(chunk, [...claims]);
    this.listener.recorded(chunk);
  }

  /** The key holds epoch and nonce: no holder writes over another's object. */
  private async putOutcomes(
    chunk: ChunkWork,
    indexes: ReadonlySet<number>,
  ): Promise<string | undefined> {
    if (indexes.size === 0) return undefined;
    const outcomes: StoredOutcome[] = [...indexes].map(index => ({
      index,
      ...chunk.unrecorded.get(index)!,
    }));
    const {path, n, epoch} = chunk.place;
    const key = `results/${path}/${n}/${epoch}-${this.deps.random.id()}`;
    const bytes = encodeJson(outcomes);
    while (!chunk.dropped.signal.aborted) {
      const put = await this.deps.objects.put(key, bytes);
      if (put.ok) return key;
      await this.pause(chunk, put.err);
    }
    return undefined;
  }

  /**
   * Writes the row, however long the store is down. Of what it is conditional
   * on only the job's row may change while the share is held: the job was
   * cancelled, which is taken in before the row is written all the same.
   */
  private async writeRow(
    chunk: ChunkWork,
    value: JsonObject,
  ): Promise<Row | undefined> {
    const {path, n} = chunk.place;
    const marker = {key: chunkKey(path, n), base: chunk.row, value};
    while (!chunk.dropped.signal.aborted) {
      const checks = this.checks(chunk);
      if (checks === undefined) {
        await this.pause(chunk);
        continue;
      }
      const outcome = await this.commit(chunk, marker, checks);
      const cancelled =
        outcome.kind === 'conflict' && outcome.key === jobKey(path);
      if (!cancelled) return this.storedRow(chunk, marker, outcome);
      if (!(await this.board.refresh([path]))) await this.pause(chunk);
    }
    return undefined;
  }

  /** @returns Undefined while the lease has lapsed. */
  private checks(chunk: ChunkWork): readonly RowCheck[] | undefined {
    const {path, share} = chunk.place;
    const fence = this.membership.fence(share);
    const job = this.board.get(path);
    if (fence === undefined || job === undefined) return undefined;
    return [fence, {key: jobKey(path), version: job.version}];
  }

  private commit(
    chunk: ChunkWork,
    marker: Parameters<typeof commitWithNonce>[1]['marker'],
    checks: readonly RowCheck[],
  ): Promise<CommitOutcome> {
    return commitWithNonce(
      this.deps.table,
      {marker, checks},
      {...this.deps, attempts: Infinity, signal: chunk.dropped.signal},
    );
  }

  private storedRow(
    chunk: ChunkWork,
    {key, base, value}: Parameters<typeof commitWithNonce>[1]['marker'],
    outcome: CommitOutcome,
  ): Row | undefined {
    if (outcome.kind === 'committed' && key in outcome.versions) {
      const version = outcome.versions[key]!;
      return {key, version, value: stampNonce(value, outcome.nonce, base)};
    }
    if (chunk.dropped.signal.aborted) return undefined;
    this.deps.counters.count('batch_records_fenced');
    this.listener.fenced(chunk);
    return undefined;
  }

  private pause(chunk: ChunkWork, err?: StoreError): Promise<void> {
    const {clock, random} = this.deps;
    const delayMs =
      err?.kind === 'throttled'
        ? err.retryAfterMs
        : RETRY_MS * (0.5 + random.float());
    return sleep(clock, delayMs, chunk.dropped.signal);
  }
}

function isUnwritten(chunk: ChunkWork): boolean {
  return chunk.unrecorded.size > 0 || chunk.claims.size > 0 || chunk.urgent;
}
