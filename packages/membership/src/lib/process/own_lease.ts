/**
 * The lease of this entry: its row, and its end as this process's own clock
 * sees it. It counts from before the write that renewed it was sent, so it ends
 * here before an observer may take over, however late the answer came.
 */
import type {RowWrite} from '@oathead/stores';
import type {BumpDeps} from './head_row.js';
import {leaseKey, leaseOf, rowJson} from './lease_row.js';
import type {MembershipSettings} from './membership_settings.js';

/** What came of an attempt to renew. */
export type Renewal =
  | 'kept'
  /** The store gave no answer. */
  | 'unsure'
  /** Another entry ended the lease. */
  | 'gone';

const MAX_UNANSWERED = 16;

/** The lease of this entry. */
export class OwnLease {
  /** When the writes were sent whose fate may still be learnt, by nonce. */
  private readonly sentAt = new Map<string, number>();
  private currentBoot: string;
  private epoch = 0;
  private version = 0;
  private validUntil = -Infinity;

  /**
   * @param deps - Store, clock and randomness.
   * @param settings - Settings of this entry.
   */
  constructor(
    private readonly deps: BumpDeps,
    private readonly settings: MembershipSettings,
  ) {
    this.currentBoot = deps.random.id();
  }

  /** Names this tenure: another process of the same id has another. */
  get boot(): string {
    return this.currentBoot;
  }

  /** When the lease ends by this process's clock, in milliseconds. */
  get until(): number {
    return this.validUntil;
  }

  /** @returns Whether this entry may act on its shares now. */
  valid(): boolean {
    return this.deps.clock.now() < this.validUntil;
  }

  /** Begins a new tenure: the one before was ended by another entry. */
  restart(): void {
    this.sentAt.clear();
    this.currentBoot = this.deps.random.id();
    this.version = 0;
    this.validUntil = -Infinity;
  }

  /**
   * @param epoch - Epoch of the new lease.
   * @returns The write that creates it.
   */
  create(epoch: number): RowWrite {
    this.epoch = epoch;
    return this.write(this.send(), false);
  }

  /**
   * Renews the lease, conditional on its row being the one last written here:
   * a holder that was paused while another took over fails this write.
   *
   * @param leaving - Whether this entry is on its way out.
   * @returns What came of it.
   */
  async renew(leaving: boolean): Promise<Renewal> {
    const {version, boot} = this;
    if (version === 0) return this.readBack();
    const nonce = this.send();
    const key = leaseKey(this.settings.entryId);
    const outcome = await this.deps.table.write({
      checks: [{key, version}],
      writes: [this.write(nonce, leaving)],
    });
    if (boot !== this.currentBoot) return 'unsure';
    if (outcome.ok) {
      this.confirm(outcome.value.versions[key]!, nonce);
      return 'kept';
    }
    const {err} = outcome;
    if (err.kind === 'throttled') return 'unsure';
    if (err.kind === 'unavailable' && err.applied === 'no') return 'unsure';
    return this.readBack();
  }

  /**
   * After a lost answer, or a conflict: the row's boot tells whether the write
   * that stands in it is this process's, and its nonce which of them.
   */
  private async readBack(): Promise<Renewal> {
    const {boot} = this;
    const read = await this.deps.table.read([leaseKey(this.settings.entryId)]);
    if (!read.ok || boot !== this.currentBoot) return 'unsure';
    const row = read.value[0];
    if (row === undefined) return 'gone';
    const lease = leaseOf(row);
    if (lease.boot !== boot) return 'gone';
    this.confirm(row.version, lease.nonce);
    return this.valid() ? 'kept' : 'unsure';
  }

  private confirm(version: number, nonce: string): void {
    const sentAt = this.sentAt.get(nonce) ?? -Infinity;
    this.version = version;
    this.validUntil = Math.max(this.validUntil, sentAt + this.settings.leaseMs);
  }

  private send(): string {
    const nonce = this.deps.random.id();
    this.sentAt.set(nonce, this.deps.clock.now());
    if (this.sentAt.size > MAX_UNANSWERED) {
      const [oldest] = this.sentAt.keys();
      this.sentAt.delete(oldest!);
    }
    return nonce;
  }

  private write(nonce: string, leaving: boolean): RowWrite {
    const {entryId, address, dataCentre} = this.settings;
    const {epoch, boot} = this;
    const row = {address, dataCentre, epoch, leaving, boot, nonce};
    return {kind: 'put', key: leaseKey(entryId), value: rowJson(row)};
  }
}
