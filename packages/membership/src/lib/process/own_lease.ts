/** Joining the fleet, and keeping the lease of this entry. */
import type {Outcome} from '@oathead/core';
import type {RowWrite, StoreError} from '@oathead/platform';
import {withEntry} from './directory.js';
import type {Directory} from './directory.js';
import {changeDirectory} from './directory_writer.js';
import type {BumpDeps} from './head_row.js';
import {LeaseHolder} from './lease_holder.js';
import {leaseKey, leaseOf, toJson} from './lease_row.js';
import type {LeaseRow} from './lease_row.js';
import type {MembershipSettings} from './membership_settings.js';

/** What came of an attempt to renew. */
export type Renewal =
  | 'kept'
  /** The store gave no answer. */
  | 'unsure'
  /** Another entry ended the lease. */
  | 'gone';

/** The lease of this entry. */
export class OwnLease {
  private readonly holder: LeaseHolder;
  private currentBoot: string;
  private epoch = 0;

  /**
   * @param deps - Store, clock and randomness.
   * @param settings - Settings of this entry.
   */
  constructor(
    private readonly deps: BumpDeps,
    private readonly settings: MembershipSettings,
  ) {
    this.holder = new LeaseHolder(deps.clock, settings.leaseMs);
    this.currentBoot = deps.random.id();
  }

  /** Names this tenure: another process of the same id has another. */
  get boot(): string {
    return this.currentBoot;
  }

  /** When the lease ends by this process's clock, in milliseconds. */
  get until(): number {
    return this.holder.until;
  }

  /** @returns Whether this entry may act on its shares now. */
  valid(): boolean {
    return this.holder.valid();
  }

  /** Begins a new tenure: the one before was ended by another entry. */
  restart(): void {
    this.holder.drop();
    this.currentBoot = this.deps.random.id();
  }

  /**
   * Writes lease and directory. Where an earlier process of the same id still
   * stands in the directory, its lease has to run out first, as for any other.
   *
   * @param shareCount - Number of shares.
   * @returns The directory, with or without this entry, or the error.
   */
  join(shareCount: number): Promise<Outcome<Directory, StoreError>> {
    const {entryId, address, dataCentre} = this.settings;
    const boot = this.currentBoot;
    return changeDirectory(this.deps, shareCount, directory => {
      if (directory.entries[entryId] !== undefined) return undefined;
      this.epoch = directory.joins + 1;
      const entry = {address, dataCentre, leaving: false, boot};
      return {
        directory: {
          ...withEntry(directory, entryId, entry),
          joins: this.epoch,
        },
        checks: [{key: leaseKey(entryId), version: 0}],
        writes: [this.leaseWrite(this.nextNonce(), false)],
      };
    });
  }

  /**
   * Renews the lease, conditional on its row being the one last written here:
   * a holder that was paused while another took over fails this write.
   *
   * @param leaving - Whether this entry is on its way out.
   * @returns What came of it.
   */
  async renew(leaving: boolean): Promise<Renewal> {
    const {version} = this.holder;
    if (version === 0) return this.readBack();
    const nonce = this.nextNonce();
    const key = leaseKey(this.settings.entryId);
    const outcome = await this.deps.table.write({
      checks: [{key, version}],
      writes: [this.leaseWrite(nonce, leaving)],
    });
    if (outcome.ok) {
      this.holder.confirm(outcome.value.versions[key]!, {nonce});
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
    const read = await this.deps.table.read([leaseKey(this.settings.entryId)]);
    if (!read.ok) return 'unsure';
    const row = read.value[0];
    if (row === undefined) return 'gone';
    const lease = leaseOf(row);
    if (lease.boot !== this.currentBoot) return 'gone';
    this.holder.confirm(row.version, lease);
    return this.holder.valid() ? 'kept' : 'unsure';
  }

  private nextNonce(): string {
    const nonce = this.deps.random.id();
    this.holder.sending(nonce);
    return nonce;
  }

  private leaseWrite(nonce: string, leaving: boolean): RowWrite {
    const {entryId, address, dataCentre} = this.settings;
    const {epoch, currentBoot: boot} = this;
    const row: LeaseRow = {address, dataCentre, epoch, leaving, boot, nonce};
    return {kind: 'put', key: leaseKey(entryId), value: toJson(row)};
  }
}
