/**
 * The requests that one connection has carried. A target may send a response
 * once more, late; on a connection that carried its request only once, the
 * request ID tells it from all others.
 */
import {hash32} from '@oathead/core';

/**
 * After how many requests a connection is replaced. Bounds the memory that
 * their IDs take, to a few kilobytes per connection; few connections get there
 * before they have been idle for too long.
 */
export const MAX_CARRIED_REQUESTS = 250;

/**
 * Remembers request IDs by their hash, because callers choose the IDs and their
 * length. If two hashes are equal by chance, a request needs another
 * connection.
 */
export class CarriedRequests {
  private readonly hashes = new Set<number>();
  private count = 0;

  /** Whether the connection has carried as many requests as it may. */
  get isFull(): boolean {
    return this.count >= MAX_CARRIED_REQUESTS;
  }

  /**
   * @param requestId - ID of a request; undefined if it has none.
   * @returns Whether a response to the request could be told from a late
   *     response to an earlier request. Without an ID it can't, unless there is
   *     no earlier request.
   */
  canTell(requestId: string | undefined): boolean {
    if (this.count === 0) return true;
    return requestId !== undefined && !this.hashes.has(hash32(requestId));
  }

  /**
   * @param requestId - ID of a request that is sent; undefined if it has none.
   * @returns Whether it is the first request of the connection.
   */
  add(requestId: string | undefined): boolean {
    if (requestId !== undefined) this.hashes.add(hash32(requestId));
    return this.count++ === 0;
  }
}
