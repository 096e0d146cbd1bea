/**
 * Model-based test of job ownership. Three hosts take a job over from each
 * other, write results and cancel it, in any order, on a store that loses
 * responses, delays writes and refuses them. It runs the real {@link
 * HeadWriter} against a model that remembers each result that was ever
 * readable.
 */
import {failure, seededRandom, type Clock} from '@oathead/core';
import {
  decodeJson,
  encodeJson,
  MemoryRowStore,
  type RowTransaction,
  type VersionedRow,
} from '@oathead/stores';
import test from 'ava';
import fc from 'fast-check';
import {HeadWriter} from '../../lib/process/head_writer.js';
import {
  headRef,
  JOB_HEAD,
  jobRowRange,
  jobRowRef,
  RESULT_TABLE,
  type JobHead,
  type VersionedHead,
} from '../../lib/request/job_rows.js';

const ITEMS = 6;
const HOSTS = 3;
const RUNS = 3000;

/** How the store treats a write. */
type WriteOutcome = 'done' | 'answer-lost' | 'late' | 'refused';

/** The next action of a host. */
interface Step {
  readonly host: number;
  readonly action: 'claim' | 'list' | 'end';
  /** Outcomes of the writes of this step, in order; further writes are done. */
  readonly outcomes: readonly WriteOutcome[];
}

const STEPS: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.record({
    host: fc.nat(HOSTS - 1),
    action: fc.constantFrom('claim', 'list', 'list', 'list', 'end'),
    outcomes: fc.array(
      fc.constantFrom<WriteOutcome>('done', 'answer-lost', 'late', 'refused'),
      {maxLength: 4},
    ),
  }),
  {maxLength: 24},
);

/** Runs timers at once: the order of the steps defines the model's time. */
const IMMEDIATE_CLOCK: Clock = {
  now: () => 0,
  wallTime: () => 0,
  after: (ms, task) => {
    queueMicrotask(task);
    return {[Symbol.dispose]: () => {}};
  },
};

/** A store in memory that treats writes according to `outcomes`. */
class UnreliableStore extends MemoryRowStore {
  outcomes: WriteOutcome[] = [];
  private readonly delayed: RowTransaction[] = [];

  constructor() {
    super(IMMEDIATE_CLOCK);
  }

  override async transact(transaction: RowTransaction) {
    const outcome = this.outcomes.shift() ?? 'done';
    if (outcome === 'refused')
      return failure({kind: 'refused', message: 'busy'} as const);
    if (outcome === 'late') {
      this.delayed.push(transaction);
      return failure({kind: 'unknown', message: 'late'} as const);
    }
    const done = await super.transact(transaction);
    if (outcome === 'done') return done;
    return failure({kind: 'unknown', message: 'lost'} as const);
  }

  /** Applies a delayed write if its expectations still hold. */
  async applyDelayedWrite(): Promise<void> {
    const transaction = this.delayed.shift();
    if (transaction) await super.transact(transaction);
  }
}

/** A host that owns the job, or once did. */
class Owner {
  private writer: HeadWriter | undefined;
  private unlisted: number[] = [];

  constructor(
    private readonly name: string,
    private readonly store: UnreliableStore,
    private readonly seed: number,
  ) {}

  async claim(): Promise<void> {
    const found = await headIn(this.store);
    if (found.head.state !== 'open') return;
    const writer = this.newWriter(found);
    if (!(await writer.write({owner: this.name}, [])).ok) return;
    const listed = await resultsIn(this.store);
    this.writer = writer;
    this.unlisted = unlistedItems(listed);
  }

  async list(): Promise<void> {
    const [item] = this.unlisted;
    if (!this.writer || item === undefined) return;
    const {listed} = this.writer.head;
    const value = encodeJson(item);
    const ref = jobRowRef(RESULT_TABLE, 'j', listed);
    const written = await this.writer.write({listed: listed + 1}, [
      {...ref, value},
    ]);
    if (written.ok) this.unlisted.shift();
    else this.writer = undefined;
  }

  async end(): Promise<void> {
    const found = await headIn(this.store);
    const writer = this.newWriter(found);
    await writer.write({state: 'ended'}, []);
  }

  private newWriter(found: VersionedHead): HeadWriter {
    const {store, seed} = this;
    const random = seededRandom(seed);
    const limits = {acrossPartitions: true};
    const context = {store, clock: IMMEDIATE_CLOCK, random, limits};
    return new HeadWriter(context, found, new AbortController().signal);
  }
}

const FIRST: JobHead = {
  id: 'j',
  hostName: 'h',
  items: ITEMS,
  acceptedAtMs: 0,
  completionGoalMs: 1,
  retentionMs: 1,
  maxAttempts: 1,
  owner: '',
  state: 'open',
  listed: 0,
  failures: {},
  nonce: 'first',
  content: {kind: 'rows', pieces: 1},
};

async function headIn(store: MemoryRowStore): Promise<VersionedHead> {
  const {table, partition, key} = headRef('j');
  const page = await store.read({table, partition, from: key, limit: 1});
  const row = page.ok ? page.value.rows[0] : undefined;
  const head = decodeJson(row!.value, JOB_HEAD);
  if (!head.ok) throw new Error(head.err.message);
  return {head: head.value, version: row!.version};
}

async function resultsIn(
  store: MemoryRowStore,
): Promise<readonly VersionedRow[]> {
  const page = await store.read(jobRowRange(RESULT_TABLE, 'j'));
  return page.ok ? page.value.rows : [];
}

function itemOf({value}: VersionedRow): number {
  return Number(Buffer.from(value).toString());
}

function unlistedItems(rows: readonly VersionedRow[]): number[] {
  const listed = new Set(rows.map(itemOf));
  return [...Array(ITEMS).keys()].filter(item => !listed.has(item));
}

/** Runs the steps and checks after each that earlier results are unchanged. */
async function runSteps(steps: readonly Step[]): Promise<void> {
  const store = new UnreliableStore();
  const row = {...headRef('j'), value: encodeJson(FIRST)};
  await store.transact({expect: [], puts: [row], removes: []});
  const owners = [...Array(HOSTS).keys()].map(
    i => new Owner(`host ${i}`, store, i + 1),
  );
  let seen: readonly number[] = [];
  for (const {host, action, outcomes} of steps) {
    store.outcomes = [...outcomes];
    await owners[host]![action]();
    store.outcomes = [];
    await store.applyDelayedWrite();
    const now = (await resultsIn(store)).map(itemOf);
    if (new Set(now).size < now.length)
      throw new Error(`item listed twice: ${now}`);
    if (seen.some((item, i) => now[i] !== item))
      throw new Error(`results changed from ${seen} to ${now}`);
    const {head} = await headIn(store);
    if (head.listed !== now.length)
      throw new Error(
        `head counts ${head.listed} results, store has ${now.length}`,
      );
    seen = now;
  }
}

// Readers of a job saw an item twice, or a position whose result changed: two
// hosts that both considered themselves its owner wrote results, and either
// repeated writes after lost or delayed responses. Whatever the order, each
// item must have one position.
test('each item has one position, in any order of owners and writes', async t => {
  const property = fc.asyncProperty(STEPS, runSteps);
  await fc.assert(property, {numRuns: RUNS, seed: 7});
  t.pass();
});
