/**
 * Answers of keyed requests, kept for good. They are held in memory here (and
 * at the target process that gave them) and written in groups: one object and
 * one transaction a flush, however many requests it covers, so that writes do
 * not grow with requests.
 */
import {success} from '@oathead/core';
import type {Clock, Counters, Outcome, Random} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {
  ObjectStore,
  RowCheck,
  StoreError,
  TableStore,
} from '@oathead/stores';
import type {AnswerObject, KeyedAnswer} from '../request/keyed_answer.js';
import {AnswerIndexes} from './answer_indexes.js';

/** What the store of answers needs. */
export interface AnswerStoreDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly membership: Membership;
}

/** Bounds of the store of answers. */
export interface AnswerStoreSettings {
  /** Longest time that an answer is held unwritten, in milliseconds. */
  readonly flushMs: number;
  /** So many unwritten answers are written at once. */
  readonly flushCount: number;
  /** More unwritten answers than this: new keyed requests are refused. */
  readonly maxUnwritten: number;
  /** How long a key is remembered, in milliseconds. */
  readonly retentionMs: number;
}

const CACHED_OBJECTS = 64;

/** Keeps the answers of keyed requests. */
export class AnswerStore {
  /** Which object holds the answer of a key. */
  readonly indexes: AnswerIndexes;
  private readonly unwritten = new Map<string, KeyedAnswer>();
  private readonly cache = new Map<string, AnswerObject>();
  private timer: Disposable | undefined;
  private flushing: Promise<void> | undefined;
  private readonly writtenCallbacks = new Set<
    (keys: readonly string[]) => void
  >();

  /**
   * @param deps - Stores, clock and standing in the fleet.
   * @param settings - Bounds.
   */
  constructor(
    private readonly deps: AnswerStoreDeps,
    private readonly settings: AnswerStoreSettings,
  ) {
    this.indexes = new AnswerIndexes(deps.table, deps.clock);
  }

  /** Whether so much is unwritten that no more may be promised. */
  get full(): boolean {
    return this.unwritten.size >= this.settings.maxUnwritten;
  }

  /** Answers that are not written yet. */
  get unwrittenCount(): number {
    return this.unwritten.size;
  }

  /**
   * @param key - `caller/key`.
   * @returns The kept answer, or undefined where none is known here.
   */
  async find(
    key: string,
  ): Promise<Outcome<KeyedAnswer | undefined, StoreError>> {
    const held = this.unwritten.get(key);
    if (held) return success(held);
    const share = this.deps.membership.shareOf(key);
    const name = this.indexes.objectOf(share, key);
    if (name === undefined) return success(undefined);
    const object = await this.read(name);
    if (!object.ok) return object;
    return success(object.value?.answers.find(answer => answer.key === key));
  }

  /**
   * Takes an answer; it can be found from now on, and is written soon. The
   * first answer of a key stands.
   *
   * @param answer - The answer.
   */
  add(answer: KeyedAnswer): void {
    const share = this.deps.membership.shareOf(answer.key);
    const written = this.indexes.objectOf(share, answer.key) !== undefined;
    if (written || this.unwritten.has(answer.key)) {
      this.deps.counters.count('keyed_answers_late');
      return;
    }
    this.unwritten.set(answer.key, answer);
    if (this.unwritten.size >= this.settings.flushCount) {
      void this.flush();
      return;
    }
    this.timer ??= this.deps.clock.after(this.settings.flushMs, () => {
      void this.flush();
    });
  }

  /**
   * @param callback - Called with keys whose answers are written: nobody else
   *     needs to hold them any longer.
   */
  onWritten(callback: (keys: readonly string[]) => void): Disposable {
    this.writtenCallbacks.add(callback);
    return {
      [Symbol.dispose]: () => void this.writtenCallbacks.delete(callback),
    };
  }

  /** Writes all that is unwritten now. Settles when written or failed. */
  async flush(): Promise<void> {
    await this.flushing;
    this.timer?.[Symbol.dispose]();
    this.timer = undefined;
    if (this.unwritten.size === 0) return;
    this.flushing = this.write([...this.unwritten.values()]);
    await this.flushing;
    this.flushing = undefined;
    if (this.unwritten.size > 0) this.retryLater();
  }

  /** Forgets what is older than the retention, share by share. */
  async sweep(): Promise<void> {
    const {membership, objects, counters} = this.deps;
    for (const {share} of membership.held()) {
      const {retentionMs} = this.settings;
      for (const name of await this.indexes.sweep(share, retentionMs)) {
        await objects.delete(name);
        counters.count('answer_objects_expired');
      }
    }
  }

  private retryLater(): void {
    this.timer ??= this.deps.clock.after(this.settings.flushMs, () => {
      void this.flush();
    });
  }

  private async write(answers: readonly KeyedAnswer[]): Promise<void> {
    const {random, objects, table, counters} = this.deps;
    const name = `answers/${this.deps.membership.entryId}/${random.id()}`;
    const bytes = new TextEncoder().encode(JSON.stringify({answers}));
    const put = await objects.put(name, bytes);
    if (!put.ok) {
      counters.count('answer_flush_failures', {kind: put.err.kind});
      return;
    }

    const byShare = this.byShare(answers);
    const checks = await this.fences([...byShare.keys()]);
    if (!checks.ok) {
      counters.count('answer_flush_failures', {kind: checks.err.kind});
      return;
    }
    const nonce = random.id();
    const rows = [...byShare].map(([share, group]) => {
      const keys = group.map(({key}) => key);
      return this.indexes.row(share, name, keys, nonce);
    });
    const committed = await table.write({
      checks: checks.value,
      writes: rows.map(row => ({kind: 'put', ...row})),
    });
    if (!committed.ok && !(await this.landed(rows[0]!.key))) {
      counters.count('answer_flush_failures', {kind: committed.err.kind});
      return;
    }
    this.written(answers, byShare, name);
  }

  /**
   * The answer of the store can be lost after the write took effect; then the
   * row is there, under a name that nobody else can have written.
   */
  private async landed(rowKey: string): Promise<boolean> {
    const read = await this.deps.table.read([rowKey]);
    return read.ok && read.value[0] !== undefined;
  }

  private written(
    answers: readonly KeyedAnswer[],
    byShare: ReadonlyMap<number, readonly KeyedAnswer[]>,
    object: string,
  ): void {
    for (const [share, group] of byShare) {
      for (const {key} of group) this.indexes.note(share, key, object);
    }
    for (const {key} of answers) this.unwritten.delete(key);
    this.remember(object, {answers});
    this.deps.counters.count('keyed_answers_written', {}, answers.length);
    const keys = answers.map(answer => answer.key);
    for (const callback of this.writtenCallbacks) callback(keys);
  }

  private byShare(
    answers: readonly KeyedAnswer[],
  ): ReadonlyMap<number, readonly KeyedAnswer[]> {
    const groups = new Map<number, KeyedAnswer[]>();
    for (const answer of answers) {
      const share = this.deps.membership.shareOf(answer.key);
      const group = groups.get(share);
      if (group) group.push(answer);
      else groups.set(share, [answer]);
    }
    return groups;
  }

  /**
   * A holder that was paused past its lease may write while another entry is
   * taking its shares over, and the other would not see the rows. Each write
   * therefore requires the share rows to be as this entry knows them; for a
   * share of another entry (served here while that one cannot be reached) they
   * are read first.
   */
  private async fences(
    shares: readonly number[],
  ): Promise<Outcome<readonly RowCheck[], StoreError>> {
    const own = shares.map(share => this.deps.membership.fence(share));
    const known = own.filter(check => check !== undefined);
    const foreign = shares.filter((share, i) => own[i] === undefined);
    if (foreign.length === 0) return success(known);
    const keys = foreign.map(share => `share/${share}`);
    const rows = await this.deps.table.read(keys);
    if (!rows.ok) return rows;
    const checks = rows.value.map((row, i) => ({
      key: keys[i]!,
      version: row?.version ?? 0,
    }));
    return success([...known, ...checks]);
  }

  private async read(
    name: string,
  ): Promise<Outcome<AnswerObject | undefined, StoreError>> {
    const cached = this.cache.get(name);
    if (cached) return success(cached);
    const bytes = await this.deps.objects.get(name);
    if (!bytes.ok) return bytes;
    if (!bytes.value) return success(undefined);
    const text = new TextDecoder().decode(bytes.value);
    const object = JSON.parse(text) as AnswerObject;
    this.remember(name, object);
    return success(object);
  }

  private remember(name: string, object: AnswerObject): void {
    this.cache.set(name, object);
    if (this.cache.size <= CACHED_OBJECTS) return;
    const oldest = this.cache.keys().next().value;
    if (oldest !== undefined) this.cache.delete(oldest);
  }
}
