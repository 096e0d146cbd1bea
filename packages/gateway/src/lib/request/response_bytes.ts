/**
 * Counts the bytes of a response. Guards against bytes without end that are no
 * part of a body: the parser limits the fields of one head only, and reports
 * nothing before it is whole.
 */

/**
 * Maximum number of bytes outside the body of a response (its heads, and what
 * chunks add), in bytes: several times the largest head that is accepted.
 */
const MAX_FRAMING_BYTES = 128 * 1024;
/**
 * Number of bytes that chunks may add to each byte of a body: more than a chunk
 * of one byte does.
 */
const MAX_CHUNK_OVERHEAD = 8;
/** Body of a refusal that is read to keep its connection, in bytes. */
const MAX_REFUSAL_BYTES = 16 * 1024;

/** The bytes of one response. */
export class ResponseBytes {
  private readonly before: number;
  private body = 0;

  /**
   * @param received - Returns the number of bytes that have arrived on the
   *     connection.
   */
  constructor(private readonly received: () => number) {
    this.before = received();
  }

  /** @param bytes - Number of further bytes of the body. */
  addBody(bytes: number): void {
    this.body += bytes;
  }

  /** Whether more bytes have come beside the body than belong to a response. */
  get hasTooMuchFraming(): boolean {
    const framing = this.received() - this.before - this.body;
    return framing > MAX_FRAMING_BYTES + MAX_CHUNK_OVERHEAD * this.body;
  }

  /** Whether the body is not worth reading if the head states a refusal. */
  get isTooLongForRefusal(): boolean {
    return this.body > MAX_REFUSAL_BYTES;
  }
}
