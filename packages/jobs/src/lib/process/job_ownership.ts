/**
 * Tracks the jobs that this host owns: those it has accepted, those handed over
 * to it, and its share of those whose owner is not alive.
 */
import {
  DisposableStore,
  rendezvous,
  repeat,
  type Counters,
  type Outcome,
} from '@oathead/core';
import {staying, staysOn, type Membership} from '@oathead/gateway';
import type {TableUpdate, VersionedRow} from '@oathead/stores';
import type {JobReader} from '../request/job_reader.js';
import {
  headRow,
  decodeHead,
  type JobHead,
  type TellOwner,
  type VersionedHead,
} from '../request/job_rows.js';
import {AdoptionReport} from './adoption_report.js';
import {JobLoader, type LoadedJob, type LoadError} from './job_loader.js';
import {KnownHeads} from './known_heads.js';
import {OrphanSearch} from './orphan_search.js';
import {OwnedJob, type OwnedJobContext} from './owned_job.js';
import {writeOwner} from './owner_write.js';

/** Dependencies of {@link JobOwnership}. */
export interface JobOwnershipContext extends OwnedJobContext {
  readonly reader: JobReader;
  readonly membership: Membership;
  readonly counters: Counters;
  readonly tellOwner: TellOwner;
}

/** Interval between checks for orphaned jobs, in milliseconds. */
const SWEEP_INTERVAL_MS = 500;

/** The jobs that this host owns. */
export class JobOwnership implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly heads = new KnownHeads();
  private readonly owned = new Map<string, OwnedJob>();
  private readonly loader: JobLoader;
  private readonly search: OrphanSearch;
  private readonly report: AdoptionReport;
  private stopping = false;

  /** @param context - Store, reader and membership. */
  constructor(private readonly context: JobOwnershipContext) {
    this.loader = new JobLoader(context, this.self, id => this.heads.get(id));
    this.report = new AdoptionReport(context);
    const search = new OrphanSearch(context, this.heads, {
      adopt: (found, how) => this.adopt(found, how),
      learn: (found, how) => this.learn(found, how),
      recordFailure: (id, how, reason) => this.report.failed(id, how, reason),
      isHeld: id => this.isHeld(id),
      owned: () => this.owned.size,
    });
    this.search = this.disposables.add(search);
  }

  /** Starts the periodic search for orphaned jobs. */
  start(): void {
    this.disposables.add(
      repeat(this.context.clock, SWEEP_INTERVAL_MS, () => this.search.sweep()),
    );
  }

  /** Stops all work on jobs without handing them over. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
    for (const job of [...this.owned.values()]) job[Symbol.dispose]();
  }

  /** @returns The jobs that this host owns now. */
  jobs(): Iterable<OwnedJob> {
    return this.owned.values();
  }

  /**
   * Adopts a job that this host has just accepted.
   *
   * @param accepted - Head as written on acceptance.
   */
  adoptAccepted(accepted: VersionedHead): void {
    void this.learn(accepted, 'accepted');
    this.tellOwnerOf(accepted);
  }

  /**
   * Applies the head of a job that another host has written in the name of this
   * one.
   *
   * @param row - The head.
   */
  learnTold(row: VersionedRow): void {
    this.handleHeadRow(row, 'told');
  }

  /**
   * Applies the head of a job that was submitted again. Guards against a job
   * that rests since the feed of its owner has skipped it.
   *
   * @param found - Head as the store told it.
   */
  learnSubmitted(found: VersionedHead): void {
    void this.learn(found, 'submitted again');
  }

  /**
   * @returns Owner of a job that is accepted now: this host, or another host
   *   during shutdown.
   */
  ownerForNewJob(): string {
    if (!this.stopping) return this.self;
    const peers = staying(this.context.membership.peers());
    return peers[this.context.random.int(peers.length)]?.id ?? '';
  }

  /**
   * Applies changed job heads.
   *
   * @param update - Changes reported by the watch on the heads.
   */
  update({put, removed}: TableUpdate): void {
    for (const row of put) this.handleHeadRow(row, 'handed over');
    for (const {key, version} of removed)
      if (this.heads.remove(key, version)) this.search.forget(key);
  }

  /** Hands all jobs over to other hosts, for a graceful shutdown. */
  async handOverAll(): Promise<void> {
    this.stopping = true;
    this.disposables[Symbol.dispose]();
    const peers = staying(this.context.membership.peers()).map(({id}) => id);
    const jobs = [...this.owned.values()];
    await Promise.all(jobs.map(job => this.handOver(job, peers)));
  }

  private async handOver(
    job: OwnedJob,
    peers: readonly string[],
  ): Promise<void> {
    const {id} = job.head;
    try {
      await job.handOver(rendezvous(id, peers)[0] ?? '');
      const newest = this.heads.get(id);
      if (newest) this.tellOwnerOf(newest);
    } catch (err) {
      this.context.log.event('job-hand-over-failed', {
        job: id,
        error: String(err),
      });
    }
  }

  private isHeld(id: string): boolean {
    return this.owned.has(id) || this.loader.isLoading(id);
  }

  private get self(): string {
    return this.context.membership.self.id;
  }

  private handleHeadRow(row: VersionedRow, how: string): void {
    const decoded = decodeHead(row);
    if (!decoded.ok) {
      this.context.log.event('job-head-unreadable', {
        job: row.key,
        message: decoded.err.message,
      });
      return;
    }
    const found = {head: decoded.value, version: row.version};
    void this.learn(found, how);
  }

  /**
   * Applies a head unless a newer one is known, and adopts its job if this host
   * is the owner.
   */
  private async learn(found: VersionedHead, how: string): Promise<void> {
    if (!this.record(found)) return;
    const {state, owner} = found.head;
    if (state !== 'open' || owner !== this.self) this.release(found.head);
    else await this.adopt(found, how);
  }

  /** @returns Whether the head is newer than the known one. */
  private record(found: VersionedHead): boolean {
    if (!this.heads.put(found)) return false;
    this.search.recordHead(found.head);
    return true;
  }

  private release(head: JobHead): void {
    const job = this.owned.get(head.id);
    // The watch may report this owner's own last write before the store's
    // response to it arrives.
    if (!job || (head.owner === this.self && head.state === 'done')) return;
    this.context.log.event('job-let-go', {
      job: head.id,
      state: head.state,
      owner: head.owner,
    });
    job[Symbol.dispose]();
  }

  /**
   * Adopts a job unless this host processes or reads it already. Guards against
   * a job that ends each process that takes it over: if its rows throw, the
   * next sweep tries again.
   */
  private async adopt(found: VersionedHead, how: string): Promise<void> {
    const {id} = found.head;
    if (this.isHeld(id)) return;
    try {
      await this.readAndOwn(found, how);
    } catch (err) {
      this.report.failed(id, how, String(err));
    }
  }

  private async readAndOwn(found: VersionedHead, how: string): Promise<void> {
    if (this.stopping) return this.passOn(found);
    const loaded = await this.loader.load(found, how === 'accepted');
    if (this.stopping)
      return this.passOn(this.heads.get(found.head.id) ?? found);
    const job = this.stillOwned(found, how, loaded);
    if (job) this.own(job, how);
  }

  /**
   * @returns The job that was read, unless it could not be read or is no longer
   *   this host's.
   */
  private stillOwned(
    found: VersionedHead,
    how: string,
    loaded: Outcome<LoadedJob, LoadError>,
  ): LoadedJob | undefined {
    const {id} = found.head;
    if (!loaded.ok && loaded.err.kind !== 'other-owner') {
      const {err} = loaded;
      const reason = 'reason' in err ? err.reason : err.kind;
      this.report.failed(id, how, reason);
      return undefined;
    }
    // Guards against running items of a cancelled job: it may be cancelled
    // while its items are read, or after a sweep has taken its copy of the
    // heads and before it gets to this job.
    const isClosed = this.heads.isClosed(loaded.ok ? loaded.value.head : found);
    const isOwn = loaded.ok && loaded.value.head.head.owner === this.self;
    if (!isClosed && isOwn) return loaded.value;
    this.report.dropped(id, how, isClosed ? 'closed' : 'other-owner');
    return undefined;
  }

  private own({head, work}: LoadedJob, how: string): void {
    const {id} = head.head;
    this.report.succeeded(id);
    this.context.counters.count('jobs_adopted', {how});
    this.context.log.event('job-adopted', {
      job: id,
      how,
      items: head.head.items,
      left: work.length,
      sinceAcceptedMs: this.sinceAcceptedMs(head.head),
      resumed: work.filter(({inheritedTexts}) => inheritedTexts > 0).length,
    });
    const drop = ({newestHead}: OwnedJob) => {
      this.owned.delete(id);
      if (newestHead) this.record(newestHead);
    };
    this.owned.set(id, new OwnedJob(this.context, head, work, drop));
  }

  /**
   * Hands over a job that this host owns but does not process. Guards against a
   * job that nobody processes until this host has ended and its lease lapsed: it
   * was accepted, read or handed over while the shutdown began. Hosts that all
   * shut down would pass it back and forth, so that it gets no owner then.
   */
  private async passOn(found: VersionedHead): Promise<void> {
    const {id, owner} = found.head;
    if (owner !== this.self || this.heads.isClosed(found)) return;
    const canPassOn = this.context.membership.peers().some(staysOn);
    const to = canPassOn ? this.ownerForNewJob() : '';
    const written = await writeOwner(this.context, found, to);
    this.context.log.event('job-passed-on', {
      job: id,
      to,
      outcome: written.ok ? 'written' : written.err.kind,
    });
    const newest = written.ok ? written.value : written.err.newest;
    if (!newest) return;
    await this.learn(newest, 'conflict');
    this.tellOwnerOf(newest);
  }

  /**
   * Guards against a job whose owner is alive and doesn't know it, since its
   * feed has skipped the row: nobody claims the job, and it lies until the owner
   * reads all heads again.
   */
  private tellOwnerOf(found: VersionedHead): void {
    const {owner, state} = found.head;
    if (owner === this.self || owner === '' || state !== 'open') return;
    this.context.tellOwner(owner, headRow(found));
  }

  private sinceAcceptedMs({acceptedAtMs}: JobHead): number | undefined {
    const now = this.context.store.storeTimeMs();
    return now === undefined ? undefined : Math.round(now - acceptedAtMs);
  }
}
