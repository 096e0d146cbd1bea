/**
 * A conditional write whose writer learns what became of it, also when the
 * answer of the store is lost.
 *
 * Guards against: the store carries a write out, but its answer never arrives.
 * It shows as `unavailable` with `applied: 'unknown'`; a writer that repeats
 * the write then gets a conflict with itself and takes its own work for
 * another's, and a writer that gives up redoes what is done.
 *
 * Why it holds: the transaction always checks and writes one row, the marker.
 * So it takes effect at most once, however often it is sent and however late a
 * copy of it arrives: the first one changes the version that all others check.
 * The marker carries the nonce, so reading it back tells whether it was ours.
 */
import {
  failure,
  invariant,
  sleep,
  success,
  type Clock,
  type Outcome,
  type Random,
} from '@oathead/core';
import {
  isJsonObject,
  NONCE_HISTORY,
  noncesOf,
  stampNonce,
  type JsonObject,
} from './nonces.js';
import type {
  Row,
  RowCheck,
  RowWrite,
  StoreError,
  TableStore,
  Transaction,
} from './table_store.js';

/** What is to be written. */
export interface Commit {
  /**
   * The row by which the writer knows its write. All writers of this row must
   * go through {@link commitWithNonce}, and nobody may delete it while a
   * commit that creates it (`base` undefined) can still be under way: a row
   * that is gone looks like one that was never made. Mark it as ended instead.
   */
  readonly marker: {
    readonly key: string;
    /** The row as the decision to write saw it; undefined: it must not exist. */
    readonly base: Row | undefined;
    readonly value: JsonObject;
  };
  /** Further conditions. */
  readonly checks?: readonly RowCheck[];
  /** Further writes, in the same transaction. Objects are stamped, too. */
  readonly writes?: readonly RowWrite[];
}

/** What became of a commit. */
export type CommitOutcome =
  /**
   * It took effect, once. `versions` holds the rows that are still as this
   * commit wrote them; a row that another writer has changed since is missing.
   */
  | {
      readonly kind: 'committed';
      readonly nonce: string;
      readonly versions: Readonly<Record<string, number>>;
    }
  /** It did not take effect and never will: a check cannot hold any more. */
  | {readonly kind: 'conflict'; readonly key: string}
  /** It did not take effect and never will: the store refused each attempt. */
  | {readonly kind: 'unavailable'; readonly err: StoreError}
  /**
   * It may have taken effect or, where a copy of it is still on its way, may
   * yet do so. To settle it, read the marker and commit anew on top of what is
   * there: of two commits with one base only one can take effect.
   */
  | {readonly kind: 'unknown'; readonly err: StoreError};

/** How long a commit is tried. */
export interface CommitOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Unique for this commit; drawn from `random` by default. */
  readonly nonce?: string;
  /** Times that the transaction is sent at the most. */
  readonly attempts?: number;
  /** The pause after the first attempt, in milliseconds; doubled each time. */
  readonly firstDelayMs?: number;
  /** The longest pause, in milliseconds. */
  readonly maxDelayMs?: number;
  /** Ends the attempts early, as if they were used up. */
  readonly signal?: AbortSignal;
}

const DEFAULT_ATTEMPTS = 5;
const DEFAULT_FIRST_DELAY_MS = 50;
const DEFAULT_MAX_DELAY_MS = 2000;

/**
 * Commits a transaction, retries what is safe to retry and reads back what was
 * left open.
 *
 * @param table - Where to write.
 * @param commit - What to write.
 * @param options - Clock, randomness and bounds.
 * @returns What became of it.
 */
export async function commitWithNonce(
  table: TableStore,
  commit: Commit,
  options: CommitOptions,
): Promise<CommitOutcome> {
  const nonce = options.nonce ?? options.random.id();
  return new CommitAttempts(table, commit, nonce, options).run();
}

/** What the marker tells about a commit whose answer was lost. */
type Landing =
  | {readonly kind: 'landed'; readonly versions: Record<string, number>}
  /** The marker is still as the commit found it. */
  | {readonly kind: 'pending'}
  /** Another write took its place behind the same base. */
  | {readonly kind: 'overtaken'}
  /** Others have written too often since, or the row is gone. */
  | {readonly kind: 'untraceable'};

class CommitAttempts {
  private readonly transaction: Transaction;
  /** A copy of the transaction may have taken effect, or may yet. */
  private inDoubt = false;
  private lastErr: StoreError = {
    kind: 'unavailable',
    applied: 'no',
    message: 'not attempted',
  };

  constructor(
    private readonly table: TableStore,
    private readonly commit: Commit,
    private readonly nonce: string,
    private readonly options: CommitOptions,
  ) {
    this.transaction = toTransaction(commit, nonce);
  }

  async run(): Promise<CommitOutcome> {
    const {attempts = DEFAULT_ATTEMPTS, signal} = this.options;
    for (let attempt = 0; attempt < attempts; attempt++) {
      if (attempt > 0) await this.pause(attempt);
      if (signal?.aborted) break;
      const outcome = await this.attempt();
      if (outcome) return outcome;
    }
    return this.giveUp();
  }

  /** @returns The outcome, or undefined when there is reason to go on. */
  private async attempt(): Promise<CommitOutcome | undefined> {
    if (this.inDoubt) {
      const landing = await this.readBack();
      if (!landing.ok) return undefined;
      const outcome = this.settle(landing.value);
      if (outcome) return outcome;
    }
    const result = await this.table.write(this.transaction);
    if (result.ok) return this.committed(result.value.versions);
    if (result.err.kind === 'conflict') return this.explain(result.err);
    this.lastErr = result.err;
    if (result.err.kind === 'unavailable')
      this.inDoubt ||= result.err.applied === 'unknown';
    return undefined;
  }

  /** Tells a conflict with another writer from one with an own earlier copy. */
  private async explain(
    err: Extract<StoreError, {kind: 'conflict'}>,
  ): Promise<CommitOutcome | undefined> {
    const conflict = {kind: 'conflict', key: err.key} as const;
    if (!this.inDoubt) return conflict;
    const landing = await this.readBack();
    if (!landing.ok) return undefined;
    // `pending` is for good here: the version that a check asked for is gone,
    // and versions never come back. But a row that must not exist can be
    // deleted again, and then a late copy of the transaction takes effect.
    const checked = this.transaction.checks.find(c => c.key === err.key);
    const forGood = checked?.version !== 0 || this.isMarker(err.key);
    const unknown = {kind: 'unknown', err: this.lastErr} as const;
    return this.settle(landing.value) ?? (forGood ? conflict : unknown);
  }

  private isMarker(key: string): boolean {
    return key === this.commit.marker.key;
  }

  private async giveUp(): Promise<CommitOutcome> {
    const err = this.lastErr;
    if (!this.inDoubt) return {kind: 'unavailable', err};
    const landing = await this.readBack();
    const outcome = landing.ok ? this.settle(landing.value) : undefined;
    return outcome ?? {kind: 'unknown', err};
  }

  private settle(landing: Landing): CommitOutcome | undefined {
    const {key} = this.commit.marker;
    const versions = landing.kind === 'landed' ? landing.versions : {};
    const outcomes = {
      landed: () => this.committed(versions),
      pending: () => undefined,
      overtaken: () => ({kind: 'conflict', key}) as const,
      untraceable: () => ({kind: 'unknown', err: this.lastErr}) as const,
    };
    return outcomes[landing.kind]();
  }

  private committed(versions: Readonly<Record<string, number>>): CommitOutcome {
    return {kind: 'committed', nonce: this.nonce, versions};
  }

  private async readBack(): Promise<Outcome<Landing, StoreError>> {
    const keys = this.transaction.writes.map(write => write.key);
    const result = await this.table.read(keys);
    if (!result.ok) return failure(result.err);
    const rows = result.value;
    const marker = rows.find(row => row && this.isMarker(row.key));
    return success(this.judge(marker, rows));
  }

  private judge(
    marker: Row | undefined,
    rows: readonly (Row | undefined)[],
  ): Landing {
    const {base} = this.commit.marker;
    const nonces = noncesOf(marker);
    if (nonces.includes(this.nonce))
      return {kind: 'landed', versions: this.ownVersions(rows)};
    if (marker?.version === base?.version) return {kind: 'pending'};
    // The history reaches back to the base, and what follows it is not ours.
    const [baseNonce] = noncesOf(base);
    const whole = baseNonce
      ? nonces.includes(baseNonce)
      : nonces.length > 0 && nonces.length < NONCE_HISTORY;
    if (whole) return {kind: 'overtaken'};
    return {kind: 'untraceable'};
  }

  private ownVersions(
    rows: readonly (Row | undefined)[],
  ): Record<string, number> {
    const own = rows.filter(row => noncesOf(row)[0] === this.nonce);
    return Object.fromEntries(own.map(row => [row!.key, row!.version]));
  }

  /** Waits longer each time, with jitter, so that writers do not keep step. */
  private async pause(attempt: number): Promise<void> {
    const {clock, random, signal} = this.options;
    const {firstDelayMs = DEFAULT_FIRST_DELAY_MS} = this.options;
    const {maxDelayMs = DEFAULT_MAX_DELAY_MS} = this.options;
    const longest = Math.min(maxDelayMs, firstDelayMs * 2 ** (attempt - 1));
    const asked =
      this.lastErr.kind === 'throttled' ? this.lastErr.retryAfterMs : 0;
    await sleep(clock, asked + random.float() * longest, signal);
  }
}

function toTransaction(commit: Commit, nonce: string): Transaction {
  const {key, base, value} = commit.marker;
  const others = commit.writes ?? [];
  invariant(!others.some(w => w.key === key), `${key} is written twice`);
  const marker = stampNonce(value, nonce, base);
  return {
    checks: [{key, version: base?.version ?? 0}, ...(commit.checks ?? [])],
    writes: [
      {kind: 'put', key, value: marker},
      ...others.map(write => stamp(write, nonce)),
    ],
  };
}

function stamp(write: RowWrite, nonce: string): RowWrite {
  if (write.kind !== 'put' || !isJsonObject(write.value)) return write;
  return {...write, value: stampNonce(write.value, nonce)};
}
