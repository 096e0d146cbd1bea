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
} from '@oathead/stores';
import {LRUCache} from 'lru-cache';
import {z} from 'zod';
import {isPartKey, SUSPECT_TABLE} from './suspect_table.js';

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
});
/** Crashes under one request. */
export type CrashRecord = Readonly<z.infer<typeof RECORD>>;

/** Maximum number of requests in memory. */
const MAX_RECORDS = 4096;

/** Dependencies of {@link CrashRecords}. */
export interface CrashRecordsContext {
  readonly store: Pick<RowStore, 'transact' | 'storeTimeMs'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Crashes by request, as one host knows them. */
export class CrashRecords {
  private readonly records = new LRUCache<string, CrashRecord>({
    max: MAX_RECORDS,
    dispose: (record, key) => this.removeFromIndex(key, record),
  });
  /** Fingerprints of the requests that have a part. */
  private readonly byPart = new Map<string, Set<string>>();

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
    const known = this.records.get(requestFingerprint)?.targets ?? [];
    if (known.includes(target)) return;
    const record = {targets: [...known, target], at: this.now(), parts};
    this.set(requestFingerprint, record);
    const {targets} = record;
    this.context.log.event('request-suspect', {
      fingerprint: requestFingerprint,
      targets,
    });
    const ref = recordRef(requestFingerprint);
    // If the write fails, the other hosts learn of the crash through broken
    // runs of their own.
    void this.context.store.transact({
      expect: [],
      puts: [{...ref, value: encodeJson(record)}],
      removes: [],
    });
  }

  /**
   * Removes a record on all hosts.
   *
   * @param requestFingerprint - Fingerprint of a request that was answered.
   */
  clear(requestFingerprint: string): void {
    const record = this.records.get(requestFingerprint);
    if (!record) return;
    this.records.delete(requestFingerprint);
    const {targets} = record;
    this.context.log.event('suspect-cleared', {
      fingerprint: requestFingerprint,
      targets,
    });
    // If the write fails, the other hosts forget the record after its lifetime.
    void this.context.store.transact({
      expect: [],
      puts: [],
      removes: [recordRef(requestFingerprint)],
    });
  }

  /** @param update - Changes of {@link SUSPECT_TABLE}. */
  update({put, removed}: TableUpdate): void {
    for (const {key} of removed) this.records.delete(key);
    const removedAt = new Map(removed.map(({key, version}) => [key, version]));
    for (const {key, value, version} of put) {
      if (isPartKey(key)) continue;
      // An update may report a row and its removal after that.
      if (version <= (removedAt.get(key) ?? 0)) continue;
      const record = decodeJson(value, RECORD);
      if (!record.ok) {
        const {message} = record.err;
        this.context.log.event('suspect-unreadable', {key, message});
        continue;
      }
      this.merge(key, record.value);
    }
  }

  /**
   * Forms the union of the targets, because two hosts may write a record
   * concurrently, each with only the targets that it knows.
   */
  private merge(requestFingerprint: string, reported: CrashRecord): void {
    const known = this.records.get(requestFingerprint);
    const targets = new Set([...(known?.targets ?? []), ...reported.targets]);
    const at = Math.max(known?.at ?? 0, reported.at);
    const parts = new Set([...(known?.parts ?? []), ...reported.parts]);
    this.set(requestFingerprint, {
      targets: [...targets],
      at,
      parts: [...parts],
    });
  }

  private set(requestFingerprint: string, record: CrashRecord): void {
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

  private now(): number {
    return this.context.store.storeTimeMs() ?? this.context.clock.now();
  }
}

function recordRef(requestFingerprint: string): RowRef {
  return {table: SUSPECT_TABLE, partition: '', key: requestFingerprint};
}
