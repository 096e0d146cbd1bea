/**
 * What hosts know of crashes under requests. A request is known by its
 * fingerprint, and each host sees only its own runs, so the records are shared
 * through the store. What they mean is decided elsewhere.
 */
import type {Clock, EventLog} from '@oathead/core';
import {
  decodeJson,
  encodeJson,
  type RowRef,
  type RowStore,
  type TableUpdate,
  type VersionedRow,
} from '@oathead/stores';
import {LRUCache} from 'lru-cache';
import {z} from 'zod';
import {isPartKey, SUSPECT_TABLE} from './suspect_table.js';
import {MAX_WRITES, WriteBackoff} from './write_backoff.js';

const RECORD = z.object({
  /** IDs of targets at which a run broke off; see `Target.id`. */
  targets: z.array(z.string()).readonly(),
  /** Time of the last such run, in store time in milliseconds. */
  at: z.number(),
  /**
   * Keys of the parts of its prompt that other requests may have, too. Hosts of
   * earlier builds write none.
   */
  parts: z.array(z.string()).readonly().default([]),
  /** Number of times that the request was tried again. */
  trials: z.number().int().nonnegative().default(0),
  /** When it was tried last, in store time in milliseconds; 0 if never. */
  triedAt: z.number().default(0),
});
/** Crashes under one request. */
export type CrashRecord = Readonly<z.infer<typeof RECORD>>;

/** A record, and what is known of its row. */
interface KnownRecord extends CrashRecord {
  /** Version of the row as it was last seen; 0 if it does not exist. */
  readonly version: number;
  /** The targets that the row holds. */
  readonly stored: readonly string[];
}

/** Maximum number of requests in memory. */
const MAX_RECORDS = 4096;
/** Dependencies of {@link CrashRecords}. */
export interface CrashRecordsContext {
  readonly store: Pick<RowStore, 'transact' | 'storeTimeMs'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

const NO_CRASHES: KnownRecord = {
  targets: [],
  at: 0,
  parts: [],
  trials: 0,
  triedAt: 0,
  version: 0,
  stored: [],
};

/** Crashes by request, as one host knows them. */
export class CrashRecords {
  private readonly records = new LRUCache<string, KnownRecord>({
    max: MAX_RECORDS,
    dispose: (record, key) => this.removeFromIndex(key, record),
  });
  /** Fingerprints of the requests that have a part. */
  private readonly byPart = new Map<string, Set<string>>();
  /** Requests whose records are being written. */
  private readonly writing = new Set<string>();

  /** @param context - The store through which hosts share the records. */
  constructor(private readonly context: CrashRecordsContext) {}

  /** @returns The crashes under a request; undefined if none are known. */
  get(requestFingerprint: string): CrashRecord | undefined {
    return this.records.get(requestFingerprint);
  }

  /**
   * @param part - Key of a part of prompts.
   * @returns The crashes under each request that has it.
   */
  withPart(part: string): readonly CrashRecord[] {
    const fingerprints = [...(this.byPart.get(part) ?? [])];
    return fingerprints.flatMap(one => this.records.peek(one) ?? []);
  }

  /**
   * @param requestFingerprint - Fingerprint of a request whose run broke off as
   *     a crash breaks it off.
   * @param target - ID of the target.
   * @param parts - Keys of the parts of its prompt.
   */
  add(
    requestFingerprint: string,
    target: string,
    parts: readonly string[],
  ): void {
    const known = this.records.get(requestFingerprint) ?? NO_CRASHES;
    if (known.targets.includes(target)) return;
    const targets = [...known.targets, target];
    this.set(requestFingerprint, {...known, targets, at: this.now(), parts});
    this.context.log.event('request-suspect', {
      fingerprint: requestFingerprint,
      targets,
    });
    void this.write(requestFingerprint);
  }

  /**
   * Removes a record on all hosts, unless a crash has been noticed since.
   *
   * @param requestFingerprint - Fingerprint of a request that was answered.
   * @param beforeMs - Time before which crashes do not count any more, in store
   *     time in milliseconds.
   * @returns Whether this host has no record of the request any more.
   */
  clear(requestFingerprint: string, beforeMs: number): boolean {
    const record = this.records.get(requestFingerprint);
    if (!record) return true;
    const {at, targets, version} = record;
    if (at > beforeMs) return false;
    this.records.delete(requestFingerprint);
    this.context.log.event('suspect-cleared', {
      fingerprint: requestFingerprint,
      targets,
    });
    void this.removeRow(requestFingerprint, version, beforeMs);
    return true;
  }

  /**
   * Takes the right to try a request again. The write decides, so that one
   * request of the whole fleet has it.
   *
   * @param requestFingerprint - Fingerprint of the request.
   * @returns Whether this host has it. Never rejects.
   */
  async claimTrial(requestFingerprint: string): Promise<boolean> {
    const known = this.records.get(requestFingerprint);
    if (!known) return false;
    const {targets, at, parts, version} = known;
    const trials = known.trials + 1;
    const triedAt = this.now();
    // Other requests of this host see it while the write is on its way.
    this.set(requestFingerprint, {...known, trials, triedAt});
    // No other host knows of a record that could not be written.
    if (version === 0) return true;
    const ref = recordRef(requestFingerprint);
    const value = encodeJson({targets, at, parts, trials, triedAt});
    const written = await this.context.store.transact({
      expect: [{...ref, version}],
      puts: [{...ref, value}],
      removes: [],
    });
    this.context.log.event('suspect-tried-again', {
      fingerprint: requestFingerprint,
      trials,
      outcome: written.ok ? 'written' : written.err.kind,
    });
    if (written.ok)
      this.noteRow(requestFingerprint, written.value.version, targets);
    return written.ok;
  }

  /** @param update - Changes of {@link SUSPECT_TABLE}. */
  update({put, removed}: TableUpdate): void {
    for (const {key} of removed) this.removeStored(key);
    const removedAt = new Map(removed.map(({key, version}) => [key, version]));
    for (const row of put) {
      // An update may report a row and its removal after that.
      const isGone = row.version <= (removedAt.get(row.key) ?? 0);
      if (!isPartKey(row.key) && !isGone) this.merge(row);
    }
  }

  /**
   * Writes a record until its row holds all its targets. Guards against hosts
   * that notice crashes at the same time: each write builds on the row that it
   * replaces, so that none discards what another host has written.
   */
  private async write(requestFingerprint: string): Promise<void> {
    if (this.writing.has(requestFingerprint)) return;
    this.writing.add(requestFingerprint);
    const backoff = new WriteBackoff(this.context.clock);
    for (let i = 0; i < MAX_WRITES; i++) {
      const record = this.records.peek(requestFingerprint);
      if (!record || isWritten(record)) break;
      if (await this.writeOnce(requestFingerprint, record)) continue;
      await backoff.wait();
    }
    this.writing.delete(requestFingerprint);
  }

  /** @returns Whether the store has answered, by a conflict also. */
  private async writeOnce(
    requestFingerprint: string,
    {targets, at, parts, trials, triedAt, version}: KnownRecord,
  ): Promise<boolean> {
    const ref = recordRef(requestFingerprint);
    const written = await this.context.store.transact({
      expect: [{...ref, version}],
      puts: [
        {...ref, value: encodeJson({targets, at, parts, trials, triedAt})},
      ],
      removes: [],
    });
    if (written.ok) {
      this.noteRow(requestFingerprint, written.value.version, targets);
      return true;
    }
    if (written.err.kind === 'conflict') {
      const [row] = written.err.rows;
      if (row) this.merge(row);
      else this.removeStored(requestFingerprint);
      return true;
    }
    // Until it is written, other hosts know only what they see themselves.
    this.logUnwritten(written.err.kind);
    return false;
  }

  /** Removes a row, unless another host has written a later crash there. */
  private async removeRow(
    requestFingerprint: string,
    version: number,
    beforeMs: number,
  ): Promise<void> {
    const ref = recordRef(requestFingerprint);
    let expected = version;
    const backoff = new WriteBackoff(this.context.clock);
    for (let i = 0; i < MAX_WRITES; i++) {
      const removed = await this.context.store.transact({
        expect: [{...ref, version: expected}],
        puts: [],
        removes: [ref],
      });
      if (removed.ok) return;
      if (removed.err.kind === 'conflict') {
        const [row] = removed.err.rows;
        if (!row) return;
        this.merge(row);
        const isLater = (this.records.peek(row.key)?.at ?? 0) > beforeMs;
        if (isLater) return;
        this.records.delete(row.key);
        expected = row.version;
        continue;
      }
      // Until it is removed, the other hosts hold the request.
      this.logUnwritten(removed.err.kind);
      await backoff.wait();
    }
  }

  /**
   * Forms the union of the targets: this host may know of some that are not
   * written yet.
   */
  private merge({key, value, version}: VersionedRow): void {
    const row = decodeJson(value, RECORD);
    if (!row.ok) {
      const {message} = row.err;
      this.context.log.event('suspect-unreadable', {key, message});
      this.noteRow(key, version, []);
      return;
    }
    const known = this.records.get(key) ?? NO_CRASHES;
    const {targets, at, parts, trials, triedAt} = row.value;
    this.set(key, {
      targets: [...new Set([...known.targets, ...targets])],
      at: Math.max(known.at, at),
      parts: [...new Set([...known.parts, ...parts])],
      trials: Math.max(known.trials, trials),
      triedAt: Math.max(known.triedAt, triedAt),
      version,
      stored: targets,
    });
  }

  private noteRow(
    requestFingerprint: string,
    version: number,
    stored: readonly string[],
  ): void {
    const known = this.records.peek(requestFingerprint);
    if (known) this.set(requestFingerprint, {...known, version, stored});
  }

  /** Forgets what a row held that is gone; unwritten crashes still count. */
  private removeStored(requestFingerprint: string): void {
    const known = this.records.peek(requestFingerprint);
    if (!known) return;
    const {stored} = known;
    const targets = known.targets.filter(target => !stored.includes(target));
    if (targets.length === 0) this.records.delete(requestFingerprint);
    else
      this.set(requestFingerprint, {
        ...known,
        targets,
        version: 0,
        stored: [],
      });
  }

  private set(requestFingerprint: string, record: KnownRecord): void {
    this.records.set(requestFingerprint, record);
    for (const part of record.parts) {
      const fingerprints = this.byPart.get(part) ?? new Set();
      this.byPart.set(part, fingerprints.add(requestFingerprint));
    }
  }

  private removeFromIndex(
    requestFingerprint: string,
    {parts}: CrashRecord,
  ): void {
    for (const part of parts) {
      const fingerprints = this.byPart.get(part);
      fingerprints?.delete(requestFingerprint);
      if (fingerprints?.size === 0) this.byPart.delete(part);
    }
  }

  private logUnwritten(reason: string): void {
    this.context.log.event('suspects-unwritten', {rows: 1, reason});
  }

  private now(): number {
    return this.context.store.storeTimeMs() ?? this.context.clock.now();
  }
}

function isWritten({targets, stored}: KnownRecord): boolean {
  return targets.every(target => stored.includes(target));
}

function recordRef(requestFingerprint: string): RowRef {
  return {table: SUSPECT_TABLE, partition: '', key: requestFingerprint};
}
