/**
 * Orders of an earlier holder must not reach an engine: a holder that was
 * paused, and carries on as if it still held its lease, would undo what its
 * successor has ordered.
 */
import {notRun} from '@oathead/core';
import type {Fence, FenceCheck, Refusal} from '@oathead/core';

/** Decides about the fences of orders to one engine. */
export interface FenceGuard {
  /**
   * @param fence - The fence of an order.
   * @returns Why the order is refused; undefined when it may go on.
   */
  check(fence: Fence): Refusal | undefined;
  /**
   * @param token - The current holder's token, read from the table after the
   *     start of this process.
   */
  learn(token: number): void;
}

/** The engine refuses old fences itself. */
class EngineGuard implements FenceGuard {
  check(): undefined {
    return undefined;
  }

  learn(): void {}
}

/** Refuses what is older than the highest token seen since the start. */
class MemoryGuard implements FenceGuard {
  private highest = -Infinity;

  check(fence: Fence): Refusal | undefined {
    if (fence.token < this.highest) {
      const by = `token ${fence.token} is older than ${this.highest}`;
      return notRun('fenced', `the order comes from an earlier holder: ${by}`);
    }
    this.highest = fence.token;
    return undefined;
  }

  learn(token: number): void {
    this.highest = Math.max(this.highest, token);
  }
}

/**
 * Guards an engine that ignores fences, across restarts of this process. The
 * highest token is forgotten with the process; an order of an earlier holder
 * would then pass as the first one seen. So nothing passes until an entry has
 * told a token that it read from the table after it knew this boot. Whatever an
 * earlier boot took had a token that was current before this boot, and tokens
 * only go up, so the one read after it is at least as high: refusing lower ones
 * refuses all that is older than anything ever taken, whatever the clocks say.
 */
class LearningGuard implements FenceGuard {
  private readonly memory = new MemoryGuard();
  private learnt = false;

  check(fence: Fence): Refusal | undefined {
    if (this.learnt) return this.memory.check(fence);
    const why = 'this process has started and does not know the holder yet';
    return notRun('fenced', why, LEARN_RETRY_MS);
  }

  learn(token: number): void {
    this.learnt = true;
    this.memory.learn(token);
  }
}

const LEARN_RETRY_MS = 1_000;

const GUARDS: Readonly<Record<FenceCheck, () => FenceGuard>> = {
  fenced: () => new EngineGuard(),
  unfenced: () => new LearningGuard(),
  unchecked: () => new MemoryGuard(),
};

/**
 * @param check - Who checks the fences of orders at this engine.
 * @returns The guard in front of it.
 */
export function fenceGuard(check: FenceCheck): FenceGuard {
  return GUARDS[check]();
}
