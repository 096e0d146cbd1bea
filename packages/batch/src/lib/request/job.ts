/** Batch jobs, as callers see them. */
import type {Answer, JobState, Refusal, Work} from '@oathead/core';

/** One item of a job, as its caller sends it. */
export interface JobItem {
  /** Chosen by the caller; unique within the job. */
  readonly id: string;
  readonly work: Work;
  /** Whether it may run more than once. */
  readonly idempotent: boolean;
}

/** A job, as its caller sends it. */
export interface JobRequest {
  /** Chosen by the caller, so that a resend is the same job. */
  readonly id: string;
  readonly items: readonly JobItem[];
  /** When it is due, in milliseconds since the Unix epoch. */
  readonly dueAt?: number;
}

/** How many items of a job are in each state. */
export interface ItemCounts {
  /** Without an outcome so far. */
  readonly waiting: number;
  readonly done: number;
  readonly failed: number;
  readonly cancelled: number;
  /** Not idempotent, and its holder was lost: it may have run, or not. */
  readonly unknown: number;
}

/** What is known about a job. */
export interface JobStatus {
  readonly id: string;
  readonly state: JobState;
  readonly items: number;
  readonly counts: ItemCounts;
  readonly dueAt?: number;
  /** In milliseconds since the Unix epoch, as the next. */
  readonly acceptedAt: number;
  readonly endedAt?: number;
}

/** Where an item stands, as its caller sees it. */
export type ResultState =
  'waiting' | 'done' | 'failed' | 'cancelled' | 'unknown';

/** One item with its result. */
export interface ItemResult {
  readonly item: string;
  readonly state: ResultState;
  /** What it came to, where it is `done`. */
  readonly answer?: Answer;
  /** Why there is no answer, where there is none for good. */
  readonly refusal?: Refusal;
}

/**
 * One line of a stream of results. A stream that ends with `refused` was cut;
 * it can be resumed behind the last item that was read.
 */
export type ResultLine =
  | {readonly kind: 'item'; readonly result: ItemResult}
  | {readonly kind: 'refused'; readonly refusal: Refusal};
