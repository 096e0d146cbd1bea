/** The message by which a link reattaches to a request after a reconnect. */
import {z} from 'zod';
import {schemaOf} from './schema_of.js';

/** Names a request that was sent earlier and the position in its stream. */
export interface Attachment {
  /** Id of the request. */
  readonly id: string;
  readonly attempt: number;
  /** Boot id of the target process that the request was sent to. */
  readonly bootId: string;
  /** Time since the request was sent, in milliseconds on the link's clock. */
  readonly sentAgoMs: number;
  /** Whether the `started` event was received. */
  readonly startedSeen: boolean;
  /** Number of tokens received; the stream resumes after them. */
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
