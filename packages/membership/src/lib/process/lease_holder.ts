/**
 * The lease of this entry, as its own clock sees it. It counts from before the
 * write that renewed it was sent, so it ends here before an observer may take
 * over, however late the answer came.
 */
import type {Clock} from '@oathead/core';
import type {LeaseRow} from './lease_row.js';

const MAX_PENDING = 16;

/** The lease of this entry. */
export class LeaseHolder {
  private readonly sentAt = new Map<string, number>();
  private rowVersion = 0;
  private validUntil = -Infinity;

  /**
   * @param clock - The clock of this process.
   * @param leaseMs - Duration of a lease, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly leaseMs: number,
  ) {}

  /** Version of the lease's row; 0 without a lease. */
  get version(): number {
    return this.rowVersion;
  }

  /** When the lease ends by this clock, in milliseconds. */
  get until(): number {
    return this.validUntil;
  }

  /** @returns Whether this entry may act on its shares now. */
  valid(): boolean {
    return this.clock.now() < this.validUntil;
  }

  /**
   * Notes that a write of the lease is about to be sent.
   *
   * @param nonce - The nonce in the row that it writes.
   */
  sending(nonce: string): void {
    this.sentAt.set(nonce, this.clock.now());
    if (this.sentAt.size <= MAX_PENDING) return;
    const [oldest] = this.sentAt.keys();
    this.sentAt.delete(oldest!);
  }

  /**
   * Takes in that a write of this process stands in the row.
   *
   * @param version - Version of the row.
   * @param row - The lease in it.
   */
  confirm(version: number, row: Pick<LeaseRow, 'nonce'>): void {
    const sentAt = this.sentAt.get(row.nonce) ?? -Infinity;
    this.rowVersion = version;
    this.validUntil = Math.max(this.validUntil, sentAt + this.leaseMs);
  }

  /** Forgets the lease: another entry ended it. */
  drop(): void {
    this.sentAt.clear();
    this.rowVersion = 0;
    this.validUntil = -Infinity;
  }
}
