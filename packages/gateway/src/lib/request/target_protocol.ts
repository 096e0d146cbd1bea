/**
 * Header protocol between the gateway, its callers and the targets. The gateway
 * works with the meaning of requests and responses; an implementation maps it
 * to the headers on the wire.
 */
import type {Outcome} from '@oathead/core';
import type {Target} from '../connection/target.js';

/**
 * Headers as received, by lower-case name. A header that comes twice is a list,
 * whichever one it is: the types of Node.js say so only for some of them.
 */
export type ReceivedHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** Headers of a request or response, by lower-case name. */
export type Headers = Readonly<Record<string, string | readonly string[]>>;

/** Metadata in the headers of a caller's request. */
export interface RequestMetadata {
  /**
   * Identifies this request of the caller. The target's response repeats it.
   */
  readonly requestId: string | undefined;
  /** How long the caller waits for the response, in milliseconds. */
  readonly deadlineMs: number | undefined;
  /**
   * Number of the last event that the caller received of a stream that it
   * resumes.
   */
  readonly lastEventId: number | undefined;
  /**
   * ID of the request that brought the first event of that stream; undefined
   * if the caller does not name it.
   */
  readonly resumes: string | undefined;
  /**
   * IDs of the parts of the prompt that other requests may have, too, in order.
   */
  readonly sharedParts: readonly string[];
  /**
   * Key of the caller's client account; undefined if the request has no valid
   * key.
   */
  readonly key: string | undefined;
}

/** Account of the sender, while the configuration has client accounts. */
export interface SenderAccount {
  /** Undefined if the route needs no key and none was sent. */
  readonly name: string | undefined;
}

/** Metadata that the gateway adds to the caller's own headers. */
export interface ForwardMetadata {
  /** Identifies the request; undefined if the caller sent no request ID. */
  readonly requestId: string | undefined;
  /** Server that the request is meant for. Any other server refuses it. */
  readonly serverId: Target['serverId'];
  /** Remaining time until the caller's deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Number of the last known event of a stream that is resumed. */
  readonly lastEventId: number | undefined;
  /**
   * Replaces the caller's key and any account name that the caller sent;
   * undefined if there are no accounts.
   */
  readonly account: SenderAccount | undefined;
}

/** Metadata in the status and headers of a target's response. */
export interface ResponseMetadata {
  /** Identifies the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** Whether the response has the target's seal, which vouches for the body. */
  readonly sealed: boolean;
  /** Whether the target states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the body has a content encoding that was not requested. */
  readonly hasUnexpectedEncoding: boolean;
  /** Whether the body is a stream of events. */
  readonly isEventStream: boolean;
}

/** Maps between the gateway's metadata and the headers on the wire. */
export interface TargetProtocol {
  /**
   * @param headers - Headers of a caller's request.
   * @returns The metadata of the request.
   */
  readRequest(headers: ReceivedHeaders): RequestMetadata;
  /**
   * @param headers - Headers of the caller that are forwarded.
   * @param metadata - Metadata that the gateway adds.
   * @returns The headers for the target.
   */
  requestHeaders(headers: Headers, metadata: ForwardMetadata): Headers;
  /**
   * @param status - HTTP status of a target's response.
   * @param headers - Headers of a target's response.
   * @returns The metadata of the response; what is wrong with its head if it is
   *     none that a target would send.
   */
  readResponse(
    status: number,
    headers: ReceivedHeaders,
  ): Outcome<ResponseMetadata, string>;
  /**
   * @param ms - Delay before the caller should retry, in milliseconds.
   * @returns The headers that state it.
   */
  retryAfter(ms: number): Headers;
  /**
   * @param leftMs - Remaining time until the caller's deadline, in
   *     milliseconds.
   * @returns Longest retry delay that callers comply with, in milliseconds.
   */
  maxRetryAfterMs(leftMs: number): number;
}
