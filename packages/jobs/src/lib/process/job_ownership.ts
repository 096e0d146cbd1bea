/**
 * Determines which jobs this host owns: jobs it has accepted, jobs handed over
 * to it, and its share of the jobs whose owner's lease has expired.
 */
import {
  DisposableStore,
  rendezvous,
  repeat,
  type Clock,
  type Counters,
} from '@oathead/core';
import type {Member, Membership} from '@oathead/gateway';
import {
  decodeJson,
  encodeJson,
  type TableUpdate,
  type VersionedRow,
} from '@oathead/stores';
import {LRUCache} from 'lru-cache';
import {z} from 'zod';
import type {JobReader} from '../request/job_reader.js';
import {
  headRef,
  indexOfKey,
  JOB_HEAD,
  jobRowRange,
  PARTIAL_TABLE,
  type JobHead,
  type VersionedHead,
} from '../request/job_rows.js';
import {newItemWork, type ItemWork, type PartialText} from './item_work.js';
import {OwnedJob, type OwnedJobContext} from './owned_job.js';

/** Dependencies of {@link JobOwnership}. */
export interface JobOwnershipContext extends OwnedJobContext {
  readonly reader: JobReader;
  readonly membership: Membership;
  readonly counters: Counters;
}

/** Interval between checks for orphaned jobs, in milliseconds. */
const SWEEP_INTERVAL_MS = 500;
/**
 * How long a job must be without a live owner before another host claims it, in
 * milliseconds, if that host has never seen the owner alive. A host that has
 * just started may show up as the owner of a job before its first heartbeat is
 * seen.
 */
const ORPHAN_GRACE_MS = 1500;
/**
 * Maximum number of jobs that are claimed and read at a time. A job must not
 * wait for all others of a lost host, nor must their reads load the store.
 */
const MAX_CONCURRENT_CLAIMS = 4;
/**
 * Maximum number of closed jobs remembered: far more than close while the items
 * of one job are read.
 */
const MAX_CLOSED_JOBS = 4096;

const PARTIAL = z.object({
  lastEventId: z.number().optional(),
  texts: z.array(z.string()),
});

/** A head and the items that have no result under it. */
interface LoadedJob {
  readonly head: VersionedHead;
  readonly work: readonly ItemWork[];
}

/** Tracks the jobs that this host owns. */
export class JobOwnership implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly heads = new Map<string, VersionedHead>();
  private readonly owned = new Map<string, OwnedJob>();
  private readonly loading = new Set<string>();
  /** Jobs that are done or cancelled; they are never adopted again. */
  private readonly closed = new LRUCache<string, true>({max: MAX_CLOSED_JOBS});
  private readonly orphanSince = new Map<string, number>();
  private stopping = false;

  /** @param context - Store, reader and membership. */
  constructor(private readonly context: JobOwnershipContext) {}

  /** Starts the periodic search for orphaned jobs. */
  start(): void {
    this.disposables.add(
      repeat(this.clock, SWEEP_INTERVAL_MS, () => this.sweep()),
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
    void this.adopt(accepted, 'accepted');
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
    for (const row of put) this.handleHeadRow(row);
    for (const {key} of removed) this.heads.delete(key);
  }

  /** Hands all jobs over to other hosts, for a graceful shutdown. */
  async handOverAll(): Promise<void> {
    this.stopping = true;
    this.disposables[Symbol.dispose]();
    const peers = staying(this.context.membership.peers()).map(({id}) => id);
    const jobs = [...this.owned.values()];
    await Promise.all(
      jobs.map(job => job.handOver(rendezvous(job.head.id, peers)[0] ?? '')),
    );
  }

  private get clock(): Clock {
    return this.context.clock;
  }

  private get self(): string {
    return this.context.membership.self.id;
  }

  private handleHeadRow(row: VersionedRow): void {
    const decoded = decodeJson(row.value, JOB_HEAD);
    if (!decoded.ok) {
      this.context.log.event('job-head-unreadable', {
        job: row.key,
        message: decoded.err.message,
      });
      return;
    }
    const head = decoded.value;
    if (head.state !== 'open') {
      this.closed.set(head.id, true);
      this.heads.delete(head.id);
      this.orphanSince.delete(head.id);
      this.release(head);
      return;
    }
    this.heads.set(head.id, {head, version: row.version});
    if (head.owner !== this.self) this.release(head);
    else void this.adopt({head, version: row.version}, 'handed over');
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

  private async sweep(): Promise<void> {
    const {membership} = this.context;
    if (!membership.isInitialized) return;
    const live = membership.live();
    const heads = [...this.heads.values()].values();
    const takeShare = async () => {
      for (const found of heads) await this.takeUp(found, live);
    };
    await Promise.all(Array.from({length: MAX_CONCURRENT_CLAIMS}, takeShare));
  }

  private async takeUp(
    found: VersionedHead,
    live: readonly Member[],
  ): Promise<void> {
    const {id, owner} = found.head;
    if (live.some(member => member.id === owner)) {
      this.orphanSince.delete(id);
      if (owner === this.self) await this.adopt(found, 'found');
      return;
    }
    const claimants = staying(live).map(member => member.id);
    if (rendezvous(id, claimants)[0] !== this.self) return;
    if (!this.hasEnded(owner) && !this.isOrphan(id)) return;
    await this.claim(found);
  }

  /**
   * @returns Whether the owner was alive and no longer is; false if this host
   *   has never seen it.
   */
  private hasEnded(owner: string): boolean {
    const {membership} = this.context;
    return membership.isReplaced(owner) || membership.hasLapsed(owner);
  }

  private isOrphan(id: string): boolean {
    const now = this.clock.now();
    const since = this.orphanSince.get(id) ?? now;
    this.orphanSince.set(id, since);
    return now - since >= ORPHAN_GRACE_MS;
  }

  private async claim({head, version}: VersionedHead): Promise<void> {
    const {store, random, log} = this.context;
    const next = {...head, owner: this.self, nonce: random.id()};
    const ref = headRef(head.id);
    const written = await store.transact({
      expect: [{...ref, version}],
      puts: [{...ref, value: encodeJson(next)}],
      removes: [],
    });
    log.event('job-claimed', {
      job: head.id,
      from: head.owner,
      outcome: written.ok ? 'written' : written.err.kind,
    });
    // Without a response, the watch shows whether the claim was written.
    if (!written.ok) return;
    await this.adopt({head: next, version: written.value.version}, 'claimed');
  }

  private async adopt(found: VersionedHead, how: string): Promise<void> {
    const {id} = found.head;
    if (this.owned.has(id) || this.loading.has(id)) return;
    if (this.stopping) return this.passOn(found);
    this.loading.add(id);
    const loaded = await this.loadNewest(found, how === 'accepted');
    this.loading.delete(id);
    if (this.stopping) return this.passOn(this.heads.get(id) ?? found);
    if (!loaded) return;
    const {head, work} = loaded;
    // Guards against running items of a cancelled job: it may be cancelled
    // while its items are read, or after a sweep has taken its copy of the
    // heads and before it gets to this job.
    if (this.closed.has(id)) return;
    if (head.head.owner !== this.self) return;
    this.context.counters.count('jobs_adopted', {how});
    this.context.log.event('job-adopted', {
      job: id,
      how,
      items: head.head.items,
      left: work.length,
      sinceAcceptedMs: this.sinceAcceptedMs(head.head),
      resumed: work.filter(({inheritedTexts}) => inheritedTexts > 0).length,
    });
    const drop = (job: OwnedJob) => this.owned.delete(job.head.id);
    this.owned.set(id, new OwnedJob(this.context, head, work, drop));
  }

  /**
   * Hands over a job that this host owns but does not process. Guards against a
   * job that nobody processes until this host has ended and its lease lapsed: it
   * was accepted, read or handed over while the shutdown began. Hosts that all
   * shut down would pass it back and forth, so that it gets no owner then.
   */
  private async passOn({head, version}: VersionedHead): Promise<void> {
    if (head.owner !== this.self || this.closed.has(head.id)) return;
    const {store, random, log} = this.context;
    const canPassOn = this.context.membership.peers().some(staysOn);
    const owner = canPassOn ? this.ownerForNewJob() : '';
    const next = {...head, owner, nonce: random.id()};
    const ref = headRef(head.id);
    const written = await store.transact({
      expect: [{...ref, version}],
      puts: [{...ref, value: encodeJson(next)}],
      removes: [],
    });
    log.event('job-passed-on', {
      job: head.id,
      to: next.owner,
      outcome: written.ok ? 'written' : written.err.kind,
    });
  }

  private sinceAcceptedMs({acceptedAtMs}: JobHead): number | undefined {
    const now = this.context.store.storeTimeMs();
    return now === undefined ? undefined : Math.round(now - acceptedAtMs);
  }

  /**
   * Reads the items again if the head has changed meanwhile. Guards against
   * results and failed runs that another owner recorded while they were read.
   * Under the newer head, this host could list an item a second time.
   *
   * @returns The newest head and the items that are left under it; undefined if
   *   the store cannot be read or another host owns the job by now.
   */
  private async loadNewest(
    found: VersionedHead,
    isNew: boolean,
  ): Promise<LoadedJob | undefined> {
    for (let head = found; ;) {
      const work = await this.load(head.head, isNew && head === found);
      if (!work) return undefined;
      const newest = this.heads.get(found.head.id);
      if (!newest || newest.version <= head.version) return {head, work};
      if (newest.head.owner !== this.self) return undefined;
      head = newest;
    }
  }

  /**
   * @returns The items without a result; undefined if the store cannot be read.
   */
  private async load(
    head: JobHead,
    isNew: boolean,
  ): Promise<readonly ItemWork[] | undefined> {
    const {reader} = this.context;
    const items = await reader.items(head.id);
    if (!items.ok) return undefined;
    const results = isNew ? undefined : await reader.allResults(head.id);
    if (results && !results.ok) return undefined;
    const listed = new Set(results?.value.map(({id}) => id));
    const partials = isNew ? new Map() : await this.partials(head);
    return items.value
      .map((item, i) => {
        const {[i]: failures = 0} = head.failures;
        const {[i]: doubts = 0} = head.doubts ?? {};
        const failedRuns = head.failedRuns?.[i] ?? [];
        const partial = partials.get(i);
        return newItemWork(i, item, failures, partial, doubts, failedRuns);
      })
      .filter(({item}) => !listed.has(item.id));
  }

  private async partials(
    head: JobHead,
  ): Promise<ReadonlyMap<number, PartialText>> {
    const texts = new Map<number, PartialText>();
    for (let from = 0; ;) {
      const range = jobRowRange(PARTIAL_TABLE, head.id, from);
      const page = await this.context.store.read(range);
      // Without partial texts the items start from the beginning.
      if (!page.ok) return texts;
      const {rows, hasMore} = page.value;
      for (const {key, value} of rows) {
        const partial = decodeJson(value, PARTIAL);
        if (!partial.ok) continue;
        const {lastEventId, texts: partialTexts} = partial.value;
        texts.set(indexOfKey(key), {lastEventId, texts: partialTexts});
      }
      const last = rows.at(-1);
      if (!hasMore || !last) return texts;
      from = indexOfKey(last.key) + 1;
    }
  }
}

/**
 * Leaves out hosts that are shutting down, unless all are: a job that one of
 * them gets rests until its process has ended.
 */
function staying(members: readonly Member[]): readonly Member[] {
  const stay = members.filter(staysOn);
  return stay.length > 0 ? stay : members;
}

function staysOn({isLeaving}: Member): boolean {
  return !isLeaving;
}
