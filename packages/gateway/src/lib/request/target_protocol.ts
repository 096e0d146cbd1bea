/**
 * How targets and callers are spoken to. The rest of the gateway knows what a
 * request or an answer says; the implementation knows how it is said.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Target} from '../connection/target.js';

/** Headers of a request or an answer, by lower-case name. */
export type Headers = Readonly<Record<string, string | readonly string[]>>;

/** What a caller's request says of itself. */
export interface RequestFacts {
  /** Names this try of the caller; the target's answer repeats it. */
  readonly requestId: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  /** The last event that the caller has of a stream it resumes. */
  readonly lastEventId: number | undefined;
  /** The key of the caller's client account; undefined: it sent none that could
   * be one. */
  readonly key: string | undefined;
}

/** Whose request it is, while the configuration has client accounts. */
export interface SenderAccount {
  /** Undefined: the route needs no key, and none was sent. */
  readonly name: string | undefined;
}

/** What is said to a target beside the caller's own headers. */
export interface SendFacts {
  /** Names the request; undefined: its sender gave it no name. */
  readonly requestId: string | undefined;
  /** Any other server refuses the request. */
  readonly serverId: Target['serverId'];
  /** What is left of the caller's time, in milliseconds. */
  readonly deadlineMs: number;
  /** The last event that is known of a stream which is resumed. */
  readonly lastEventId: number | undefined;
  /** Takes the place of the caller's key and of any account that it claims;
   * undefined: there are no accounts. */
  readonly account: SenderAccount | undefined;
}

/** What the head of a target's answer says. */
export interface AnswerFacts {
  /** Which request it answers. */
  readonly requestId: string | undefined;
  /** Whether the target vouches for the body. */
  readonly sealed: boolean;
  /** Whether the target says that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the body is in a coding that nobody asked for. */
  readonly encoded: boolean;
  /** Whether the body is a stream of events. */
  readonly eventStream: boolean;
}

/** Translates between the gateway and the headers on the wire. */
export interface TargetProtocol {
  /** @param headers - Of a caller's request. */
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /**
   * @param headers - The caller's headers that go on.
   * @param facts - What the gateway adds.
   * @returns The headers for the target.
   */
  requestHeaders(headers: Headers, facts: SendFacts): Headers;
  /**
   * @param status - Of a target's answer.
   * @param headers - Of a target's answer.
   */
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
  /** @param ms - When to come back. @returns Headers that say so. */
  retryAfter(ms: number): Headers;
  /**
   * @param leftMs - How long the caller still waits, in milliseconds.
   * @returns The latest time to come back that callers obey, in milliseconds.
   */
  latestReturnMs(leftMs: number): number;
}
