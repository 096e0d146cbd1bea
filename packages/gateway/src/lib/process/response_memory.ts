/** Bounds the memory that the buffered bodies of responses take together. */

/**
 * Memory for the bodies of all responses in progress, in bytes: a quarter of a
 * small host's.
 */
const MAX_TOTAL_BYTES = 96 * 1024 * 1024;
/**
 * Part of each body for which there is always memory, in bytes, so that long
 * bodies of a faulty target don't make usual ones fail.
 */
const GUARANTEED_BYTES = 256 * 1024;

/**
 * Counts the bytes of bodies that are not whole yet. Answers many responses
 * without end at once, each of which is short enough by itself.
 */
export class ResponseMemory {
  private taken = 0;

  /**
   * @param bytes - Number of further bytes of a body.
   * @param length - Length of the body with them, in bytes.
   * @returns Whether there is memory for them; if so, they are counted.
   */
  take(bytes: number, length: number): boolean {
    const isFull = this.taken + bytes > MAX_TOTAL_BYTES;
    if (isFull && length > GUARANTEED_BYTES) return false;
    this.taken += bytes;
    return true;
  }

  /** @param bytes - Number of bytes that are no longer buffered. */
  release(bytes: number): void {
    this.taken -= bytes;
  }
}

/** The memory of this process. */
export const RESPONSE_MEMORY = new ResponseMemory();
