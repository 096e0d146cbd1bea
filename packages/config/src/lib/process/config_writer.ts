/** Commits changes of the configuration, one transaction each. */
import {failure, fingerprint, mayHaveRun, notRun, sleep} from '@oathead/core';
import type {
  Clock,
  Counters,
  Outcome,
  Random,
  Refusal,
  Resource,
} from '@oathead/core';
import {success} from '@oathead/core';
import type {RowCheck, RowWrite, StoreError, TableStore} from '@oathead/stores';
import type {Change} from '../version/change.js';
import type {ConfigReader, ReadHead} from './config_reader.js';
import {
  changeIdKey,
  changeKey,
  decodeChange,
  decodeChangeId,
  encodeChange,
  encodeChangeId,
  encodeResource,
  resourceKey,
} from './config_rows.js';
import type {HeadRow} from './config_rows.js';

/** Changes that the log keeps: more than the 7,200 of a day. */
export const DEFAULT_LOG_LENGTH = 10_000;

const TIMEOUT_MS = 5_000;
const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;

/** What one process writes the configuration with. */
export interface ConfigStoreOptions {
  readonly store: TableStore;
  readonly headRow: HeadRow;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  /** Changes that the log keeps. */
  readonly logLength?: number;
  /** Told of each change that this process knows to be committed. */
  readonly onCommitted?: (change: Change) => void;
}

/** What a change turned out to be, against the configuration as it is. */
export type Proposal =
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  /** It is so already. */
  | {readonly kind: 'unchanged'; readonly resource: Resource}
  | {
      readonly kind: 'put' | 'delete';
      /** As it will be, its version aside, or as it was last. */
      readonly resource: Resource;
      /** Version of the resource before; 0 if there was none. */
      readonly replaced: number;
      /** Rows that the decision was made on. */
      readonly checks: readonly RowCheck[];
    };

/** A change that somebody asked for. */
export interface ChangeRequest {
  /** The same for each resend. */
  readonly changeId: string;
  /** What was asked, so that an id is not used for something else. */
  readonly content: string;
  /** Reads what it needs and decides; called again after each lost race. */
  propose(): Promise<Outcome<Proposal, StoreError>>;
}

type Attempt =
  | {readonly kind: 'ended'; readonly outcome: Outcome<Resource, Refusal>}
  | {
      readonly kind: 'again';
      readonly err: StoreError;
      /** The write may have happened. */
      readonly maybeApplied: boolean;
    };

/**
 * Commits changes. Each is conditional on the head row, which every change
 * moves: so changes happen one after another, and a decision made on rows read
 * after the head holds when it is written.
 *
 * Guards against a lost answer: the store has written, its answer never came,
 * and a second write would be a second change. The transaction also makes the
 * row `change-id/{id}` and requires that it was not there, so one id is one
 * change however often and however late its transactions arrive; who comes back
 * finds the row and what it stands for.
 */
export class ConfigWriter {
  private readonly logLength: number;

  /**
   * @param options - What it writes with.
   * @param reader - What it reads with.
   */
  constructor(
    private readonly options: ConfigStoreOptions,
    private readonly reader: ConfigReader,
  ) {
    this.logLength = options.logLength ?? DEFAULT_LOG_LENGTH;
  }

  /**
   * @param req - The change.
   * @returns The resource as the change left it, or why it was not made.
   */
  async commit(req: ChangeRequest): Promise<Outcome<Resource, Refusal>> {
    const {clock, random, counters} = this.options;
    const deadline = clock.now() + TIMEOUT_MS;
    const digest = fingerprint(req.content);
    let maybeApplied = false;
    let backoff = FIRST_BACKOFF_MS;
    for (;;) {
      const attempt = await this.attempt(req, digest);
      if (attempt.kind === 'ended') return attempt.outcome;
      counters.count('config_write_retries', {cause: attempt.err.kind});
      maybeApplied ||= attempt.maybeApplied;
      if (clock.now() + backoff >= deadline) {
        return failure(unavailable(attempt.err, maybeApplied));
      }
      await sleep(clock, backoff * (1 + random.float()));
      backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
    }
  }

  private async attempt(req: ChangeRequest, digest: string): Promise<Attempt> {
    const read = await this.reader.head();
    if (!read.ok) return again(read.err);
    const before = await this.madeBefore(req.changeId, digest);
    if (!before.ok) return again(before.err);
    if (before.value) return {kind: 'ended', outcome: before.value};
    const proposed = await req.propose();
    if (!proposed.ok) return again(proposed.err);
    const proposal = proposed.value;
    if (proposal.kind === 'refused') return ended(failure(proposal.refusal));
    if (proposal.kind === 'unchanged') return ended(success(proposal.resource));
    const expired = await this.expired(read.value.head.cfg + 1);
    if (!expired.ok) return again(expired.err);
    return this.write(
      req.changeId,
      digest,
      read.value,
      proposal,
      expired.value,
    );
  }

  /** What an earlier transaction of the same change id has done. */
  private async madeBefore(
    changeId: string,
    digest: string,
  ): Promise<Outcome<Outcome<Resource, Refusal> | undefined, StoreError>> {
    const ids = await this.options.store.read([changeIdKey(changeId)]);
    if (!ids.ok) return ids;
    const row = ids.value[0];
    if (!row) return success(undefined);
    const made = decodeChangeId(row);
    if (made.digest !== digest) {
      const message = 'the change id was used for another change';
      return success(failure(notRun('key-conflict', message)));
    }
    const log = await this.options.store.read([changeKey(made.revision)]);
    if (!log.ok) return log;
    const change = log.value[0];
    if (!change) {
      const message = 'the change was made, and is no longer in the log';
      return success(failure(mayHaveRun('gone', message)));
    }
    return success(success(this.committed(decodeChange(change).change)));
  }

  /** The rows that leave the log when a revision enters it. */
  private async expired(
    revision: number,
  ): Promise<Outcome<readonly RowWrite[], StoreError>> {
    const oldest = revision - this.logLength;
    if (oldest <= 0) return success([]);
    const read = await this.options.store.read([changeKey(oldest)]);
    if (!read.ok) return read;
    const row = read.value[0];
    if (!row) return success([]);
    const {changeId} = decodeChange(row);
    return success([
      {kind: 'delete', key: row.key},
      {kind: 'delete', key: changeIdKey(changeId)},
    ]);
  }

  private async write(
    changeId: string,
    digest: string,
    {head, version}: ReadHead,
    proposal: Extract<Proposal, {readonly kind: 'put' | 'delete'}>,
    expired: readonly RowWrite[],
  ): Promise<Attempt> {
    const {store, headRow, counters} = this.options;
    const revision = head.cfg + 1;
    const change = changeOf(proposal, revision);
    const written = await store.write({
      checks: [
        {key: headRow.key, version},
        {key: changeIdKey(changeId), version: 0},
        ...proposal.checks,
      ],
      writes: [
        put(headRow.key, headRow.encode({...head, cfg: revision})),
        put(changeIdKey(changeId), encodeChangeId({revision, digest})),
        put(changeKey(revision), encodeChange({change, changeId})),
        resourceWrite(change, proposal.replaced),
        ...expired,
      ],
    });
    if (!written.ok) return again(written.err);
    counters.count('config_changes', {type: change.type});
    return ended(success(this.committed(change)));
  }

  private committed(change: Change): Resource {
    this.options.onCommitted?.(change);
    return change.resource;
  }
}

function changeOf(
  {kind, resource}: Extract<Proposal, {readonly kind: 'put' | 'delete'}>,
  revision: number,
): Change {
  if (kind === 'delete') return {type: 'delete', resource, revision};
  const changed = {...resource, resourceVersion: revision};
  return {type: 'put', resource: changed, revision};
}

function resourceWrite({type, resource}: Change, replaced: number): RowWrite {
  const key = resourceKey(resource.kind, resource.name);
  if (type === 'delete') return {kind: 'delete', key};
  return put(key, encodeResource({resource, replaced}));
}

function put(
  key: string,
  value: (RowWrite & {kind: 'put'})['value'],
): RowWrite {
  return {kind: 'put', key, value};
}

function ended(outcome: Outcome<Resource, Refusal>): Attempt {
  return {kind: 'ended', outcome};
}

function again(err: StoreError): Attempt {
  const maybeApplied = err.kind === 'unavailable' && err.applied === 'unknown';
  return {kind: 'again', err, maybeApplied};
}

function unavailable(err: StoreError, maybeApplied: boolean): Refusal {
  const message = maybeApplied
    ? 'the store gave no answer; send the same change id again to learn whether the change was made'
    : `the change was not made: the store is ${err.kind}`;
  const refuse = maybeApplied ? mayHaveRun : notRun;
  return {...refuse('store-unavailable', message), retryAfterMs: TIMEOUT_MS};
}
