/**
 * Which object holds the answer of a key: the index of each share in memory, as
 * its rows in the table say.
 */
import {fingerprint, success} from '@oathead/core';
import type {Clock, Outcome} from '@oathead/core';
import type {Row, RowWrite, StoreError, TableStore} from '@oathead/stores';
import {
  ANSWER_INDEX,
  answerIndexPrefix,
  claimPrefix,
} from '../request/keyed_answer.js';
import type {AnswerIndex} from '../request/keyed_answer.js';

/** Objects that hold the answers, by fingerprint of the key. */
type ShareIndex = Map<string, string>;

/** An index row about to be written. */
export interface IndexRow {
  readonly key: string;
  readonly value: AnswerIndex;
}

const LIST_PAGE = 1000;
/** Rows that are forgotten in one transaction. */
const SWEEP_PAGE = 100;
const TIME_DIGITS = 15;

/** The indexes of the shares that this entry looks after. */
export class AnswerIndexes {
  private readonly byShare = new Map<number, ShareIndex>();

  /**
   * @param table - Where the rows are.
   * @param clock - Dates the rows.
   */
  constructor(
    private readonly table: TableStore,
    private readonly clock: Clock,
  ) {}

  /**
   * Reads the whole index of a share; reading it again finds what others added.
   *
   * @param share - The share.
   */
  async load(share: number): Promise<Outcome<void, StoreError>> {
    const index = this.byShare.get(share) ?? new Map<string, string>();
    let after: string | undefined;
    for (;;) {
      const page = await this.table.list(answerIndexPrefix(share), {
        ...(after === undefined ? {} : {after}),
        limit: LIST_PAGE,
      });
      if (!page.ok) return page;
      for (const row of page.value) addRow(index, row);
      if (page.value.length < LIST_PAGE) break;
      after = page.value.at(-1)?.key;
    }
    this.byShare.set(share, index);
    return success(undefined);
  }

  /** @param share - A share that is no longer this entry's. */
  drop(share: number): void {
    this.byShare.delete(share);
  }

  /** @returns Whether the index of a share was read. */
  loaded(share: number): boolean {
    return this.byShare.has(share);
  }

  /**
   * @param share - The share of a key.
   * @param key - `caller/key`.
   * @returns The object that holds its answer, as far as is known here.
   */
  objectOf(share: number, key: string): string | undefined {
    return this.byShare.get(share)?.get(fingerprint(key));
  }

  /** Notes an answer that is written now. The first one of a key stands. */
  note(share: number, key: string, object: string): void {
    const index = this.byShare.get(share);
    const name = fingerprint(key);
    if (index && !index.has(name)) index.set(name, object);
  }

  /**
   * @param share - A share.
   * @param object - The object that holds the answers.
   * @param keys - Keys of the share that it answers.
   * @param nonce - Unique for this write.
   * @returns The row that says so; its key sorts by time.
   */
  row(
    share: number,
    object: string,
    keys: readonly string[],
    nonce: string,
  ): IndexRow {
    const at = this.clock.wallTime();
    return {
      key: `${answerIndexPrefix(share)}${timeText(at)}-${nonce}`,
      value: {object, keys: keys.map(fingerprint), at, nonce},
    };
  }

  /**
   * Forgets the answers and claims of a share that are older than the time for
   * which keys are remembered.
   *
   * @param share - A share of this entry.
   * @param retentionMs - That time, in milliseconds.
   * @returns The objects that nothing points to any longer.
   */
  async sweep(share: number, retentionMs: number): Promise<readonly string[]> {
    const oldest = this.clock.wallTime() - retentionMs;
    const answers = await this.expired(answerIndexPrefix(share), oldest);
    const claims = await this.expired(claimPrefix(share), oldest);
    const rows = [...answers, ...claims];
    if (rows.length === 0) return [];
    const written = await this.table.write({
      checks: rows.map(({key, version}) => ({key, version})),
      writes: rows.map(({key}): RowWrite => ({kind: 'delete', key})),
    });
    if (!written.ok) return [];
    const index = this.byShare.get(share);
    const parsed = answers.map(row => ANSWER_INDEX.parse(row.value));
    for (const {keys} of parsed) for (const key of keys) index?.delete(key);
    return parsed.map(({object}) => object);
  }

  private async expired(
    prefix: string,
    oldest: number,
  ): Promise<readonly Row[]> {
    const page = await this.table.list(prefix, {limit: SWEEP_PAGE});
    if (!page.ok) return [];
    return page.value.filter(({value}) => atOf(value) < oldest);
  }
}

function addRow(index: ShareIndex, row: Row): void {
  const parsed = ANSWER_INDEX.safeParse(row.value);
  if (!parsed.success) return;
  for (const key of parsed.data.keys) {
    // The first recorded answer of a key stands.
    if (!index.has(key)) index.set(key, parsed.data.object);
  }
}

function atOf(value: Row['value']): number {
  const {at} = value as {readonly at?: number};
  return at ?? Infinity;
}

function timeText(at: number): string {
  return String(Math.trunc(at)).padStart(TIME_DIGITS, '0');
}
