/** How a link asks about a request that it sent over another connection. */
import {z} from 'zod';
import {schemaOf} from './schema_of.js';

/** A request that was sent before, and how much of its answer has come. */
export interface Attachment {
  readonly id: string;
  readonly attempt: number;
  /** The boot of the target process that the request was sent to. */
  readonly bootId: string;
  /** How long ago it was sent, in milliseconds on the clock of the link. */
  readonly sentAgoMs: number;
  /** Whether `started` has come. */
  readonly startedSeen: boolean;
  /** How many tokens have come: the stream goes on behind them. */
  readonly tokensSeen: number;
}

/** Schema of {@link Attachment}. */
export const ATTACHMENT_SCHEMA = schemaOf<Attachment>()(
  z.object({
    id: z.string().min(1),
    attempt: z.int().positive(),
    bootId: z.string(),
    sentAgoMs: z.number().nonnegative(),
    startedSeen: z.boolean(),
    tokensSeen: z.int().nonnegative(),
  }),
);
