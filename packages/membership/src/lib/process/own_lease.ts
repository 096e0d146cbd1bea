/**
 * The lease of this entry: its row, and its expiry by this process's own clock.
 * The lease period starts before the renewing write is sent. So the lease
 * expires here before any observer may take over, no matter how late the
 * response to the write arrives.
 */
import type {RowWrite} from '@oathead/stores';
import type {BumpHeadDeps} from './head_row.js';
import {leaseKey, leaseOf, rowJson} from './lease_row.js';
import type {MembershipSettings} from './membership_settings.js';

/** Result of an attempt to renew the lease. */
export type Renewal =
  | 'kept'
  /** It is not known that the lease is valid; retry. */
  | 'unsure'
  /** Another entry ended the lease. */
  | 'gone';

/** Number of latest writes whose sending times are kept. */
const MAX_UNCONFIRMED_WRITES = 16;

/** The lease that this entry holds. */
export class OwnLease {
  /**
   * Sending times of the latest writes, by nonce, in milliseconds. The response
   * to a write may be lost and its outcome be found by a later read.
   */
  private readonly sentAt = new Map<string, number>();
  private currentBoot: string;
  private epoch = 0;
  private version = 0;
  private validUntil = -Infinity;

  /**
   * @param deps - Store, clock and randomness.
   * @param settings - Settings of this entry's membership.
   */
  constructor(
    private readonly deps: BumpHeadDeps,
    private readonly settings: MembershipSettings,
  ) {
    this.currentBoot = deps.random.id();
  }

  /**
   * Unique id of this incarnation of the entry. Another process with the same
   * entry id has a different one.
   */
  get boot(): string {
    return this.currentBoot;
  }

  /** When the lease expires, in milliseconds on this process's clock. */
  get expiresAt(): number {
    return this.validUntil;
  }

  /** @returns Whether this entry may act on its shares now. */
  valid(): boolean {
    return this.deps.clock.now() < this.validUntil;
  }

  /** Starts a new incarnation after another entry ended the lease. */
  restart(): void {
    this.sentAt.clear();
    this.currentBoot = this.deps.random.id();
    this.version = 0;
    this.validUntil = -Infinity;
  }

  /**
   * @param epoch - Epoch of the new lease.
   * @returns The write that creates the lease row.
   */
  create(epoch: number): RowWrite {
    this.epoch = epoch;
    return this.write(this.registerWrite(), false);
  }

  /**
   * Renews the lease, on condition that its row still has the version last
   * written here. The write fails if this process was paused and another entry
   * took over in the meantime.
   *
   * @param leaving - Whether this entry is draining.
   * @returns Whether the lease is valid, was ended or is in an unknown state.
   */
  async renew(leaving: boolean): Promise<Renewal> {
    const {version, boot} = this;
    if (version === 0) return this.readBack();
    const nonce = this.registerWrite();
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
   * Determines the state of the lease after a lost response or a conflict. The
   * boot id in the row shows whether this incarnation wrote the row, and the
   * nonce shows which of its writes took effect.
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

  private registerWrite(): string {
    const nonce = this.deps.random.id();
    this.sentAt.set(nonce, this.deps.clock.now());
    if (this.sentAt.size > MAX_UNCONFIRMED_WRITES) {
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
