/** Rows and objects in which the answers of keyed requests last. */
import {z} from 'zod';
import type {ServeOutcome} from '@oathead/core';

/** The end of a keyed request, as it is kept. */
export interface KeyedAnswer {
  /** `caller/key`. */
  readonly key: string;
  /** Fingerprint of the work; a resend with another is a conflict. */
  readonly work: string;
  readonly outcome: ServeOutcome;
}

/** One object: all answers of one flush. */
export interface AnswerObject {
  readonly answers: readonly KeyedAnswer[];
}

/** One index row of a share: which keys one object holds. */
export const ANSWER_INDEX = z.object({
  object: z.string(),
  /** Fingerprints of the keys. */
  keys: z.array(z.string()),
  /** Milliseconds since the Unix epoch. */
  at: z.number(),
  nonce: z.string(),
});

/** One index row of a share. */
export type AnswerIndex = z.infer<typeof ANSWER_INDEX>;

/** Claim of a non-idempotent request, written before it is sent. */
export const CLAIM = z.object({
  work: z.string(),
  at: z.number(),
  /** `released`: the request was not sent after all; it may be claimed anew. */
  state: z.enum(['claimed', 'released']),
});

/** Claim of a non-idempotent request. */
export type Claim = z.infer<typeof CLAIM>;

/**
 * @param share - A share.
 * @returns Prefix of the index rows of its answers.
 */
export function answerIndexPrefix(share: number): string {
  return `answer/${share}/`;
}

/**
 * @param share - A share.
 * @returns Prefix of the claims of its keys.
 */
export function claimPrefix(share: number): string {
  return `once/${share}/`;
}
