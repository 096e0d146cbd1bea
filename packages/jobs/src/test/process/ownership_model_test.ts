/**
 * Three hosts that take a job over from each other, list its items and end it,
 * in any order, on a store that loses answers, carries writes out late and
 * refuses them. The real writer of heads and results runs against a model that
 * remembers each result that was ever readable.
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

/** What the store does with a write. */
type Fate = 'done' | 'answer-lost' | 'late' | 'refused';

/** What a host does next. */
interface Step {
  readonly host: number;
  readonly action: 'claim' | 'list' | 'end';
  /** Of the writes of this step, in order; later ones are done. */
  readonly fates: readonly Fate[];
}

const STEPS: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.record({
    host: fc.nat(HOSTS - 1),
    action: fc.constantFrom('claim', 'list', 'list', 'list', 'end'),
    fates: fc.array(
      fc.constantFrom<Fate>('done', 'answer-lost', 'late', 'refused'),
      {maxLength: 4},
    ),
  }),
  {maxLength: 24},
);

/** Timers are over at once: the model's time is the order of its steps. */
const NO_WAIT: Clock = {
  now: () => 0,
  wallTime: () => 0,
  after: (ms, task) => {
    queueMicrotask(task);
    return {[Symbol.dispose]: () => {}};
  },
};

/** Keeps rows, and treats writes as it is told. */
class UnreliableStore extends MemoryRowStore {
  fates: Fate[] = [];
  private readonly late: RowTransaction[] = [];

  constructor() {
    super(NO_WAIT);
  }

  override async transact(transaction: RowTransaction) {
    const fate = this.fates.shift() ?? 'done';
    if (fate === 'refused')
      return failure({kind: 'refused', message: 'busy'} as const);
    if (fate === 'late') {
      this.late.push(transaction);
      return failure({kind: 'unknown', message: 'late'} as const);
    }
    const done = await super.transact(transaction);
    if (fate === 'done') return done;
    return failure({kind: 'unknown', message: 'lost'} as const);
  }

  /** Carries out a write that got no answer, if its condition still holds. */
  async catchUp(): Promise<void> {
    const transaction = this.late.shift();
    if (transaction) await super.transact(transaction);
  }
}

/** A host that works on the job, or once did. */
class Owner {
  private writer: HeadWriter | undefined;
  private left: number[] = [];

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
    this.left = itemsBut(listed);
  }

  async list(): Promise<void> {
    const [item] = this.left;
    if (!this.writer || item === undefined) return;
    const {listed} = this.writer.head;
    const value = encodeJson(item);
    const ref = jobRowRef(RESULT_TABLE, 'j', listed);
    const written = await this.writer.write({listed: listed + 1}, [
      {...ref, value},
    ]);
    if (written.ok) this.left.shift();
    else this.writer = undefined;
  }

  async end(): Promise<void> {
    const found = await headIn(this.store);
    const writer = this.newWriter(found);
    await writer.write({state: 'ended'}, []);
  }

  private newWriter(found: VersionedHead): HeadWriter {
    const {store, seed} = this;
    const context = {store, clock: NO_WAIT, random: seededRandom(seed)};
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

function itemsBut(rows: readonly VersionedRow[]): number[] {
  const listed = new Set(rows.map(itemOf));
  return [...Array(ITEMS).keys()].filter(item => !listed.has(item));
}

/** Plays steps and checks after each that what was readable still is. */
async function play(steps: readonly Step[]): Promise<void> {
  const store = new UnreliableStore();
  const row = {...headRef('j'), value: encodeJson(FIRST)};
  await store.transact({expect: [], puts: [row], removes: []});
  const owners = [...Array(HOSTS).keys()].map(
    i => new Owner(`host ${i}`, store, i + 1),
  );
  let seen: readonly number[] = [];
  for (const {host, action, fates} of steps) {
    store.fates = [...fates];
    await owners[host]![action]();
    store.fates = [];
    await store.catchUp();
    const now = (await resultsIn(store)).map(itemOf);
    if (new Set(now).size < now.length) throw new Error(`twice: ${now}`);
    if (seen.some((item, i) => now[i] !== item))
      throw new Error(`${seen} became ${now}`);
    const {head} = await headIn(store);
    if (head.listed !== now.length)
      throw new Error(`${head.listed} listed of ${now.length}`);
    seen = now;
  }
}

// Readers of a job see an item twice, or a position that changes: two hosts that
// both take themselves for its owner list results, and the store's lost and late
// answers make either try again. Whatever the order, each item has one position.
test('each item has one position, whoever owns the job in which order', async t => {
  const property = fc.asyncProperty(STEPS, play);
  await fc.assert(property, {numRuns: RUNS, seed: 7});
  t.pass();
});
