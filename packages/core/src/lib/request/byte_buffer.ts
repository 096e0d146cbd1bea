/** Bytes that arrive in parts and are kept until they are whole. */

/** Number of parts that are looked at together. */
const GROUP_PARTS = 256;
/** Groups whose parts are longer than this on average, in bytes, stay as they are. */
const LONG_PART_BYTES = 4 * 1024;

/**
 * Collects bytes. Answers the load of bodies in parts of a few bytes, which take a
 * hundred times the memory of their bytes: many short parts are copied together.
 */
export class ByteBuffer {
  private parts: Uint8Array[] = [];
  /** Number of parts that were looked at. */
  private grouped = 0;
  private ungroupedBytes = 0;
  private total = 0;

  /** Number of bytes that were added. */
  get length(): number {
    return this.total;
  }

  /** @param part - The next bytes. */
  push(part: Uint8Array): void {
    this.parts.push(part);
    this.total += part.length;
    this.ungroupedBytes += part.length;
    if (this.parts.length - this.grouped >= GROUP_PARTS) this.endGroup();
  }

  /** @returns All bytes, in order. */
  bytes(): Buffer {
    return Buffer.concat(this.parts);
  }

  /** Forgets all bytes. */
  clear(): void {
    this.parts = [];
    this.grouped = 0;
    this.ungroupedBytes = 0;
    this.total = 0;
  }

  private endGroup(): void {
    if (this.ungroupedBytes < GROUP_PARTS * LONG_PART_BYTES)
      this.parts.push(Buffer.concat(this.parts.splice(this.grouped)));
    this.grouped = this.parts.length;
    this.ungroupedBytes = 0;
  }
}
