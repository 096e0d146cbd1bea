/**
 * A conditional write that determines its outcome even if the response of the
 * store is lost.
 *
 * If the store applies a write but its response is lost, the writer sees
 * `unavailable` with `applied: 'unknown'`. A writer that then retries conflicts
 * with its own write and mistakes it for that of another writer. A writer that
 * gives up later repeats work that has already been done.
 *
 * The transaction always checks and writes one row, the marker. It therefore
 * takes effect at most once, however often it is sent and however late a copy
 * of it arrives: the first copy to be applied changes the version that all
 * other copies check. The marker carries the nonce of the commit, so a read of
 * the marker shows whether the commit took effect.
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

/** The transaction to commit. */
export interface Commit {
  /**
   * The row that identifies the commit. All writers of this row must use
   * {@link commitWithNonce}. The row must not be deleted while a commit that
   * creates it (`base` undefined) can still be in flight, because a deleted
   * row cannot be told from one that was never created. Mark it as ended
   * instead.
   */
  readonly marker: {
    readonly key: string;
    /**
     * The row as it was read when the write was decided on. If undefined, the
     * row must not exist.
     */
    readonly base: Row | undefined;
    readonly value: JsonObject;
  };
  /** Additional conditions of the transaction. */
  readonly checks?: readonly RowCheck[];
  /**
   * Additional writes in the same transaction. Values that are JSON objects are
   * stamped with the nonce as well.
   */
  readonly writes?: readonly RowWrite[];
}

/** Outcome of a commit. */
export type CommitOutcome =
  /**
   * The commit took effect, exactly once. `versions` contains the rows that are
   * still as this commit wrote them, without those that another writer has
   * changed since.
   */
  | {
      readonly kind: 'committed';
      readonly nonce: string;
      readonly versions: Readonly<Record<string, number>>;
    }
  /**
   * The commit did not take effect and never will, because a check can no
   * longer hold.
   */
  | {readonly kind: 'conflict'; readonly key: string}
  /**
   * The commit did not take effect and never will, because the store refused
   * every attempt.
   */
  | {readonly kind: 'unavailable'; readonly err: StoreError}
  /**
   * The commit may have taken effect or, if a copy of it is still in flight,
   * may yet do so. To resolve this, read the marker and commit again with the
   * row read as base: of two commits with the same base, only one can take
   * effect.
   */
  | {readonly kind: 'unknown'; readonly err: StoreError};

/** Dependencies and retry policy of a commit. */
export interface CommitOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Unique id of this commit; generated from `random` by default. */
  readonly nonce?: string;
  /** Maximum number of attempts to send the transaction. */
  readonly attempts?: number;
  /**
   * Upper bound of the random backoff after the first attempt, in milliseconds.
   * Doubles with each attempt.
   */
  readonly firstDelayMs?: number;
  /**
   * Maximum of the random backoff, in milliseconds. The delay that a throttling
   * store asks for is added to it.
   */
  readonly maxDelayMs?: number;
  /** Stops retrying when aborted, as if all attempts had been used. */
  readonly signal?: AbortSignal;
}

const DEFAULT_ATTEMPTS = 5;
const DEFAULT_FIRST_DELAY_MS = 50;
const DEFAULT_MAX_DELAY_MS = 2000;

/**
 * Commits a transaction. Retries it with backoff and reads the marker back
 * whenever the outcome of an attempt is unknown.
 *
 * @param table - The table to write to.
 * @param commit - The marker and the additional checks and writes.
 * @param options - Clock, random source and retry policy.
 * @returns The outcome. Store errors are returned, not thrown.
 */
export async function commitWithNonce(
  table: TableStore,
  commit: Commit,
  options: CommitOptions,
): Promise<CommitOutcome> {
  const nonce = options.nonce ?? options.random.id();
  return new CommitAttempts(table, commit, nonce, options).run();
}

/** Status of a commit in doubt, as determined from its marker. */
type CommitStatus =
  | {readonly kind: 'landed'; readonly versions: Record<string, number>}
  /** The marker is unchanged: no copy of the commit has taken effect yet. */
  | {readonly kind: 'pending'}
  /** Another write with the same base took effect first. */
  | {readonly kind: 'overtaken'}
  /**
   * The nonce history of the marker no longer reaches back to the base, or the
   * marker has been deleted.
   */
  | {readonly kind: 'untraceable'};

class CommitAttempts {
  private readonly transaction: Transaction;
  /** Whether a copy of the transaction may have taken effect or may yet do so. */
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
    return this.finish();
  }

  /** @returns The outcome, or undefined if the commit should be retried. */
  private async attempt(): Promise<CommitOutcome | undefined> {
    if (this.inDoubt) {
      const status = await this.readBack();
      if (!status.ok) return undefined;
      const outcome = this.toOutcome(status.value);
      if (outcome) return outcome;
    }
    const result = await this.table.write(this.transaction);
    if (result.ok) return this.committed(result.value.versions);
    if (result.err.kind === 'conflict') return this.resolveConflict(result.err);
    this.lastErr = result.err;
    if (result.err.kind === 'unavailable')
      this.inDoubt ||= result.err.applied === 'unknown';
    return undefined;
  }

  /**
   * Distinguishes a conflict with another writer from one with an earlier copy
   * of this commit.
   */
  private async resolveConflict(
    err: Extract<StoreError, {kind: 'conflict'}>,
  ): Promise<CommitOutcome | undefined> {
    const conflict = {kind: 'conflict', key: err.key} as const;
    if (!this.inDoubt) return conflict;
    const status = await this.readBack();
    if (!status.ok) return undefined;
    // If the commit is still pending, the conflict is permanent when a check
    // names a version, since versions are never reused. A check that a row does
    // not exist can hold again once the row is deleted, and then a delayed copy
    // of the transaction could take effect.
    const checked = this.transaction.checks.find(c => c.key === err.key);
    const permanent = checked?.version !== 0 || this.isMarker(err.key);
    const unknown = {kind: 'unknown', err: this.lastErr} as const;
    return this.toOutcome(status.value) ?? (permanent ? conflict : unknown);
  }

  private isMarker(key: string): boolean {
    return key === this.commit.marker.key;
  }

  private async finish(): Promise<CommitOutcome> {
    const err = this.lastErr;
    if (!this.inDoubt) return {kind: 'unavailable', err};
    const status = await this.readBack();
    const outcome = status.ok ? this.toOutcome(status.value) : undefined;
    return outcome ?? {kind: 'unknown', err};
  }

  private toOutcome(status: CommitStatus): CommitOutcome | undefined {
    const {key} = this.commit.marker;
    const versions = status.kind === 'landed' ? status.versions : {};
    const outcomes = {
      landed: () => this.committed(versions),
      pending: () => undefined,
      overtaken: () => ({kind: 'conflict', key}) as const,
      untraceable: () => ({kind: 'unknown', err: this.lastErr}) as const,
    };
    return outcomes[status.kind]();
  }

  private committed(versions: Readonly<Record<string, number>>): CommitOutcome {
    return {kind: 'committed', nonce: this.nonce, versions};
  }

  private async readBack(): Promise<Outcome<CommitStatus, StoreError>> {
    const keys = this.transaction.writes.map(write => write.key);
    const result = await this.table.read(keys);
    if (!result.ok) return failure(result.err);
    const rows = result.value;
    const marker = rows.find(row => row && this.isMarker(row.key));
    return success(this.classify(marker, rows));
  }

  private classify(
    marker: Row | undefined,
    rows: readonly (Row | undefined)[],
  ): CommitStatus {
    const {base} = this.commit.marker;
    const nonces = noncesOf(marker);
    if (nonces.includes(this.nonce))
      return {kind: 'landed', versions: this.ownVersions(rows)};
    if (marker?.version === base?.version) return {kind: 'pending'};
    // If the nonce history reaches back to the base, it contains every write
    // since, and none of them is this commit.
    const [baseNonce] = noncesOf(base);
    const historyReachesBase = baseNonce
      ? nonces.includes(baseNonce)
      : nonces.length > 0 && nonces.length < NONCE_HISTORY;
    if (historyReachesBase) return {kind: 'overtaken'};
    return {kind: 'untraceable'};
  }

  private ownVersions(
    rows: readonly (Row | undefined)[],
  ): Record<string, number> {
    const own = rows.filter(row => noncesOf(row)[0] === this.nonce);
    return Object.fromEntries(own.map(row => [row!.key, row!.version]));
  }

  /**
   * Waits with exponential backoff and jitter, so that concurrent writers do not
   * retry in lockstep.
   */
  private async pause(attempt: number): Promise<void> {
    const {clock, random, signal} = this.options;
    const {firstDelayMs = DEFAULT_FIRST_DELAY_MS} = this.options;
    const {maxDelayMs = DEFAULT_MAX_DELAY_MS} = this.options;
    const maxJitterMs = Math.min(maxDelayMs, firstDelayMs * 2 ** (attempt - 1));
    const retryAfterMs =
      this.lastErr.kind === 'throttled' ? this.lastErr.retryAfterMs : 0;
    await sleep(clock, retryAfterMs + random.float() * maxJitterMs, signal);
  }
}

function toTransaction(commit: Commit, nonce: string): Transaction {
  const {key, base, value} = commit.marker;
  const others = commit.writes ?? [];
  invariant(
    !others.some(w => w.key === key),
    `the transaction writes the marker ${key} more than once`,
  );
  const marker = stampNonce(value, nonce, base);
  return {
    checks: [{key, version: base?.version ?? 0}, ...(commit.checks ?? [])],
    writes: [
      {kind: 'put', key, value: marker},
      ...others.map(write => stampWrite(write, nonce)),
    ],
  };
}

function stampWrite(write: RowWrite, nonce: string): RowWrite {
  if (write.kind !== 'put' || !isJsonObject(write.value)) return write;
  return {...write, value: stampNonce(write.value, nonce)};
}
