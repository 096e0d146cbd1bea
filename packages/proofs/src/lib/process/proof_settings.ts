/** Settings of the small fleet in virtual time: short leases, small chunks. */
import {createHash} from 'node:crypto';
import type {EntryCoreSettings} from '@oathead/entry';
import {MEMBERSHIP_DEFAULTS} from '@oathead/membership';
import {TARGET_SETTINGS, serviceSettings} from '@oathead/target';
import type {TargetServiceSettings} from '@oathead/target';

/** Bearer keys of the operator and of the caller. */
export const KEYS = {operator: 'operator-key', caller: 'caller-key'} as const;

/** The caller's name. */
export const CALLER = 'branch';

/** What the fleet serves. */
export const POOLS = {model: 'review-llm', service: 'limit-api'} as const;

/** Items of a batch job that are kept together. */
export const CHUNK_ITEMS = 4;

/** Longest time from the loss of an entry until its shares are another's. */
export const TAKE_OVER_MS = 8_000;

/**
 * @param text - A bearer key.
 * @returns Its hash, as it is declared.
 */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * @param entryId - Names the entry.
 * @param address - Where other entries connect.
 * @returns Its settings.
 */
export function entrySettings(
  entryId: string,
  address: string,
): EntryCoreSettings {
  return {
    membership: {
      ...MEMBERSHIP_DEFAULTS,
      entryId,
      address,
      dataCentre: 'hall-a',
      shareCount: 8,
      leaseMs: 4_000,
      renewMs: 1_500,
      marginMs: 500,
      watchMs: 1_000,
      handOverMs: 20_000,
    },
    fleet: {
      heartbeatMs: 1_000,
      hostListMs: 2_000,
      entriesPerTarget: 8,
      farRoundTripMs: 2.5,
    },
    answers: {
      flushMs: 500,
      flushCount: 64,
      maxUnwritten: 1_000,
      retentionMs: 86_400_000,
    },
    batch: {
      chunkItems: CHUNK_ITEMS,
      recordMs: 1_000,
      recordPauseMs: 200,
      closeMs: 1_000,
    },
    operatorKeyHashes: [sha256(KEYS.operator)],
    defaultDeadlineMs: 20_000,
    maxDeadlineMs: 600_000,
    batchItemTimeoutMs: 60_000,
    maxJobBytes: 1 << 20,
  };
}

/**
 * @param targetId - Names the target.
 * @param service - The plain service beside it; an engine where absent.
 * @returns Its settings.
 */
export function targetSettings(
  targetId: string,
  service?: string,
): TargetServiceSettings {
  const url = 'http://127.0.0.1:1';
  const listen = {host: '127.0.0.1', port: 0};
  const engine = {url, fenceCheck: 'unfenced', probeMs: 500};
  const backend = service ? {services: {[service]: {url}}} : {engine};
  return serviceSettings(
    TARGET_SETTINGS.parse({
      targetId,
      dataCentre: 'hall-a',
      listen,
      http: listen,
      // A memory of the usual size costs most of the time of a short story.
      memory: {startedCount: 500},
      ...backend,
    }),
  );
}
