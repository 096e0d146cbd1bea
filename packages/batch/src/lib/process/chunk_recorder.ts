/**
 * Records what has happened in chunks: outcomes in an object, then the chunk's
 * row, in a transaction that is conditional on the share's row (the holder is
 * the holder still), the chunk's row (no outcome is overwritten) and the job's
 * row (a cancelled job is noticed before anything more of it is recorded).
 */
import {sleep} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {RowCheck, StoreError} from '@oathead/platform';
import {encodeJson} from '../request/job_content.js';
import type {BatchDeps} from '../request/job_intake.js';
import {chunkKey, chunkOf, jobKey, rowJson} from '../request/job_rows.js';
import type {ChunkRow} from '../request/job_rows.js';
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

interface PendingWrite {
  readonly row: ChunkRow;
  readonly outcomes: ReadonlySet<number>;
  readonly claims: ReadonlySet<number>;
}

type Verdict = 'written' | 'again' | 'lost';

const RETRY_MS = 500;

/** Records what has happened in chunks. */
export class ChunkRecorder {
  private readonly writing = new Map<ChunkWork, Promise<void>>();
  private readonly lastWrite = new WeakMap<ChunkWork, number>();

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
    void this.run(chunk, () => this.due(chunk));
  }

  /**
   * Records all that is not recorded of a chunk.
   *
   * @param chunk - The chunk.
   * @returns Resolves when it is done, or the chunk was dropped.
   */
  async flush(chunk: ChunkWork): Promise<void> {
    while (!chunk.dropped.signal.aborted && this.unwritten(chunk)) {
      await (this.writing.get(chunk) ??
        this.run(chunk, () => this.unwritten(chunk)));
    }
  }

  private run(chunk: ChunkWork, more: () => boolean): Promise<void> {
    const work = async () => {
      while (!chunk.dropped.signal.aborted && more()) {
        await this.writeOnce(chunk);
      }
      this.writing.delete(chunk);
    };
    const done = work();
    this.writing.set(chunk, done);
    return done;
  }

  private unwritten(chunk: ChunkWork): boolean {
    return chunk.unrecorded.size > 0 || chunk.claims.size > 0 || chunk.urgent;
  }

  private due(chunk: ChunkWork): boolean {
    if (chunk.claims.size > 0) return true;
    if (chunk.finished && !chunk.closed) return true;
    const now = this.deps.clock.now();
    const {recordOutcomes, recordMs, recordPauseMs} = this.settings;
    const last = this.lastWrite.get(chunk) ?? -Infinity;
    if (now - last < recordPauseMs) return false;
    if (chunk.urgent || chunk.unrecorded.size >= recordOutcomes) return true;
    return now - chunk.unrecordedSince >= recordMs;
  }

  private async writeOnce(chunk: ChunkWork): Promise<void> {
    chunk.urgent = false;
    const nonce = this.deps.random.id();
    const outcomes = new Set(chunk.unrecorded.keys());
    const claims = new Set(chunk.claims);
    const object = await this.putOutcomes(chunk, nonce);
    if (chunk.dropped.signal.aborted) return;
    const row = chunk.nextRow(outcomes, claims, object, nonce);
    const pending = {row, outcomes, claims};
    let verdict: Verdict = 'again';
    while (verdict === 'again' && !chunk.dropped.signal.aborted) {
      verdict = await this.tryWrite(chunk, pending);
    }
    this.lastWrite.set(chunk, this.deps.clock.now());
  }

  /** The key holds epoch and nonce: no holder writes over another's object. */
  private async putOutcomes(
    chunk: ChunkWork,
    nonce: string,
  ): Promise<string | undefined> {
    const outcomes: StoredOutcome[] = [...chunk.unrecorded]
      .filter(([, body]) => Object.keys(body).length > 0)
      .map(([index, body]) => ({index, ...body}));
    if (outcomes.length === 0) return undefined;
    const {path, n, epoch} = chunk.place;
    const key = `results/${path}/${n}/${epoch}-${nonce}`;
    const bytes = encodeJson(outcomes);
    while (!chunk.dropped.signal.aborted) {
      const put = await this.deps.objects.put(key, bytes);
      if (put.ok) return key;
      await this.pause(chunk, put.err);
    }
    return undefined;
  }

  /**
   * A write whose answer was lost is sent again as it was, nonce and all: the
   * row read back then tells whether one of them took effect.
   */
  private async tryWrite(
    chunk: ChunkWork,
    pending: PendingWrite,
  ): Promise<Verdict> {
    const {path, n, share} = chunk.place;
    const key = chunkKey(path, n);
    const fence = this.membership.fence(share);
    const job = this.board.get(path);
    if (job === undefined) {
      this.listener.fenced(chunk);
      return 'lost';
    }
    if (fence === undefined) {
      await this.pause(chunk);
      return 'again';
    }
    const outcome = await this.deps.table.write({
      checks: [
        fence,
        {key, version: chunk.row.version},
        {key: jobKey(path), version: job.version},
      ],
      writes: [{kind: 'put', key, value: rowJson(pending.row)}],
    });
    if (outcome.ok) {
      return this.written(chunk, pending, outcome.value.versions[key]!);
    }
    if (outcome.err.kind !== 'conflict') {
      await this.pause(chunk, outcome.err);
      return 'again';
    }
    return this.resolve(chunk, pending, fence, outcome.err.key);
  }

  private async resolve(
    chunk: ChunkWork,
    pending: PendingWrite,
    fence: RowCheck,
    conflict: string,
  ): Promise<Verdict> {
    const {path, n} = chunk.place;
    const read = await this.deps.table.read([chunkKey(path, n)]);
    if (!read.ok) {
      await this.pause(chunk, read.err);
      return 'again';
    }
    const stored = read.value[0];
    if (stored && chunkOf(stored).nonce === pending.row.nonce) {
      return this.written(chunk, pending, stored.version);
    }
    if (conflict === jobKey(path)) {
      if (!(await this.board.refresh([path]))) await this.pause(chunk);
      return 'again';
    }
    this.deps.counters.count('batch_fenced', {
      by: conflict === fence.key ? 'share' : 'chunk',
    });
    this.listener.fenced(chunk);
    return 'lost';
  }

  private written(
    chunk: ChunkWork,
    {row, outcomes, claims}: PendingWrite,
    version: number,
  ): Verdict {
    chunk.commit(row, version, outcomes, this.deps.clock.now());
    for (const index of claims) chunk.claims.delete(index);
    this.listener.claimed(chunk, [...claims]);
    this.listener.recorded(chunk);
    return 'written';
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
