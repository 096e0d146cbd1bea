/** Replies to placement requests that have not arrived yet. */
import type {Clock} from '@oathead/core';
import type {PlacementGrant} from '../connection/placement_message.js';

/**
 * Timeout of a placement request, in milliseconds: several round trips inside a
 * data centre, and a small fraction of any latency objective.
 */
const REPLY_TIMEOUT_MS = 25;

/** Awaited replies, by ID of the request. */
export class PendingReplies {
  private readonly handlers = new Map<
    number,
    (grant: PlacementGrant) => void
  >();

  /** @param clock - Measures the timeout. */
  constructor(private readonly clock: Clock) {}

  /**
   * @param askId - ID of a request that is about to be sent.
   * @returns The reply; 'silent' if there is none in time. Never rejects.
   */
  next(askId: number): Promise<PlacementGrant | 'silent'> {
    return new Promise(resolve => {
      const timer = this.clock.after(REPLY_TIMEOUT_MS, () => {
        this.handlers.delete(askId);
        resolve('silent');
      });
      this.handlers.set(askId, grant => {
        this.handlers.delete(askId);
        timer[Symbol.dispose]();
        resolve(grant);
      });
    });
  }

  /** @param grant - A reply, which may be too late. */
  receive(grant: PlacementGrant): void {
    this.handlers.get(grant.askId)?.(grant);
  }
}
