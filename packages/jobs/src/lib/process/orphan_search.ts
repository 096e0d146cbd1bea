/**
 * Searches for jobs whose owner is not alive, and claims this host's share of
 * them.
 */
import {
  DisposableStore,
  ranksWithin,
  rendezvous,
  type Clock,
  type Counters,
  type EventLog,
} from '@oathead/core';
import {staying, type Membership} from '@oathead/gateway';
import type {JobHead, VersionedHead} from '../request/job_rows.js';
import {claimRanks} from './claim_turns.js';
import {JobPool} from './job_pool.js';
import type {KnownHeads} from './known_heads.js';
import {OrphanReport, type OwnerAbsence} from './orphan_report.js';
import {OrphanTimes} from './orphan_times.js';
import {writeOwner, type OwnerWriteContext} from './owner_write.js';

/** Dependencies of an {@link OrphanSearch}. */
export interface OrphanSearchContext extends OwnerWriteContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly membership: Membership;
}

/** The jobs that this host processes. */
export interface OwnJobs {
  /**
   * Adopts a job that this host owns, if it does not process it yet.
   *
   * @param found - Head that makes this host the owner.
   * @param how - How it became the owner.
   */
  adopt(found: VersionedHead, how: string): Promise<void>;
  /**
   * Applies a head that the store has told outside of the feed.
   *
   * @param found - Head of a job.
   * @param how - How this host became the owner, if it is.
   */
  learn(found: VersionedHead, how: string): Promise<void>;
  /**
   * Reports an attempt to take up a job that has thrown.
   *
   * @param id - ID of the job.
   * @param how - What was tried.
   * @param reason - The error.
   */
  recordFailure(id: string, how: string, reason: string): void;
  /**
   * @param id - ID of a job.
   * @returns Whether this host processes or reads it.
   */
  isHeld(id: string): boolean;
  /** @returns Number of jobs that this host processes. */
  owned(): number;
}

/**
 * Maximum number of jobs that are claimed and read at a time, and of those that
 * this host owns and reads again. A job must not wait for all others of a lost
 * host, nor must their reads load the store.
 */
const MAX_CONCURRENT_CLAIMS = 4;

/** Whether a host is the first one to claim a job, or steps in for others. */
type Turn = 'first' | 'later';

/** Claims jobs without a live owner. */
export class OrphanSearch implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly claims: JobPool;
  private readonly reads: JobPool;
  private readonly times = new OrphanTimes();
  private readonly report: OrphanReport;

  /**
   * @param context - Store, membership, clock, log and counters.
   * @param heads - The known heads.
   * @param jobs - The jobs that this host processes.
   */
  constructor(
    private readonly context: OrphanSearchContext,
    private readonly heads: KnownHeads,
    private readonly jobs: OwnJobs,
  ) {
    this.report = new OrphanReport(context);
    this.claims = this.disposables.add(
      new JobPool(MAX_CONCURRENT_CLAIMS, found => this.claim(found)),
    );
    this.reads = this.disposables.add(
      new JobPool(MAX_CONCURRENT_CLAIMS, found => jobs.adopt(found, 'found')),
    );
  }

  /** Claims nothing more. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  /** @param head - A head that is newer than the known one. */
  recordHead({id, owner, state}: JobHead): void {
    if (state !== 'open') this.times.clear(id);
    // Any host may write that a job was cancelled.
    if (state !== 'ended' && owner !== '')
      this.times.recordWrite(owner, this.context.clock.now());
  }

  /** @param id - ID of a job that is gone. */
  forget(id: string): void {
    this.times.clear(id);
  }

  /** Looks at all jobs once, and begins to claim the share of this host. */
  sweep(): void {
    const {membership} = this.context;
    if (!membership.isInitialized) return;
    const live = membership.live();
    const liveIds = new Set(live.map(({id}) => id));
    const claimants = staying(live).map(({id}) => id);
    const now = this.context.clock.now();
    const turns: Record<Turn, VersionedHead[]> = {first: [], later: []};
    const own: VersionedHead[] = [];
    for (const found of this.heads.all()) {
      const {id, owner} = found.head;
      if (!liveIds.has(owner)) {
        this.noteOrphan(found, now, claimants);
        const turn = this.turnOf(found.head, now, claimants);
        if (turn) turns[turn].push(found);
        continue;
      }
      this.times.clear(id);
      if (owner === this.self && !this.jobs.isHeld(id)) own.push(found);
    }
    // Others are most likely about to claim those of which they come first.
    this.claims.offer([...turns.first, ...turns.later]);
    this.reads.offer(own);
    this.summarize(now);
  }

  private get self(): string {
    return this.context.membership.self.id;
  }

  private summarize(now: number): void {
    if (this.times.size === 0) return;
    this.report.summarize(now, () => ({
      open: this.heads.size,
      owned: this.jobs.owned(),
      orphans: this.times.size,
      longestMs: Math.round(this.times.longestMs(now)),
    }));
  }

  private noteOrphan(
    found: VersionedHead,
    now: number,
    claimants: readonly string[],
  ): void {
    if (!this.times.note(found, now)) return;
    const {id, owner} = found.head;
    const {version} = found;
    const orphan = {job: id, owner, version, absence: this.absenceOf(owner)};
    this.report.found(orphan, now, () => {
      const order = rendezvous(id, claimants);
      const rank = order.indexOf(this.self);
      return {first: order[0] ?? '', rank, hosts: order.length};
    });
  }

  private absenceOf(owner: string): OwnerAbsence {
    if (owner === '') return 'none';
    const {membership} = this.context;
    if (membership.isReplaced(owner)) return 'replaced';
    return membership.hasLapsed(owner) ? 'lapsed' : 'unknown';
  }

  /** @returns As what this host may claim the job now, if it may. */
  private turnOf(
    {id, owner}: JobHead,
    now: number,
    claimants: readonly string[],
  ): Turn | undefined {
    const ranks = claimRanks({
      orphanedForMs: this.times.ageMs(id, now),
      ownerHasEnded: this.hasEnded(owner),
      hosts: claimants.length,
    });
    if (!ranks) return undefined;
    const isWithin = (count: number) =>
      ranksWithin(count, id, this.self, claimants);
    if (!isWithin(ranks.to)) return undefined;
    if (isWithin(1)) return 'first';
    return ranks.from > 0 && isWithin(ranks.from) ? undefined : 'later';
  }

  /**
   * @returns Whether the owner was alive and no longer is; false if this host
   *   has never seen it.
   */
  private hasEnded(owner: string): boolean {
    const {membership} = this.context;
    return membership.isReplaced(owner) || membership.hasLapsed(owner);
  }

  private async claim(found: VersionedHead): Promise<void> {
    const {id} = found.head;
    // The head may have changed while the job waited.
    if (this.heads.get(id)?.version !== found.version) return;
    try {
      await this.writeClaim(found);
    } catch (err) {
      this.jobs.recordFailure(id, 'claimed', String(err));
    }
  }

  private async writeClaim(found: VersionedHead): Promise<void> {
    const written = await writeOwner(this.context, found, this.self);
    this.context.log.event('job-claimed', {
      job: found.head.id,
      from: found.head.owner,
      outcome: written.ok ? 'written' : written.err.kind,
    });
    // Without a response, the watch or the next claim, which then conflicts,
    // shows whether the claim was written.
    if (written.ok) await this.jobs.learn(written.value, 'claimed');
    else if (written.err.newest)
      await this.jobs.learn(written.err.newest, 'conflict');
  }
}
