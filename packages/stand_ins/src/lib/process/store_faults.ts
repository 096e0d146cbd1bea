/**
 * Faults of the platform's stores, switchable while they are in use, and the
 * counts of what was asked of them. Deterministic; time passes on the injected
 * clock only.
 */
import {failure, sleep, type Clock, type Outcome} from '@oathead/core';
import type {StoreError} from '@oathead/stores';
import {RateLimit} from './rate_limit.js';

/** One call of a store. */
export interface StoreCall {
  readonly store: 'table' | 'objects' | 'weights' | 'hosts';
  readonly method:
    | 'read'
    | 'list'
    | 'write'
    | 'put'
    | 'get'
    | 'delete'
    | 'describe'
    | 'concurrentLoads'
    | 'hosts';
  /** Keys read or written; the prefix of a listing. */
  readonly keys: readonly string[];
  readonly writes: boolean;
}

/** How a call goes wrong. */
export type StoreFault =
  /** Refused; nothing is written. */
  | {readonly kind: 'down'}
  /** Carried out, late. */
  | {readonly kind: 'slow'; readonly delayMs: number}
  /** Carried out, but the caller does not hear of it. */
  | {readonly kind: 'answer-lost'; readonly afterMs?: number}
  /** Never carried out; the caller cannot tell. */
  | {readonly kind: 'request-lost'; readonly afterMs?: number}
  /** The caller cannot tell, and long after that it is carried out. */
  | {readonly kind: 'lands-late'; readonly delayMs: number}
  | {readonly kind: 'throttled'; readonly retryAfterMs: number};

/** Which calls go wrong, and how. */
export interface FaultRule {
  readonly fault: StoreFault;
  /** All calls by default. */
  readonly matches?: (call: StoreCall) => boolean;
  /** The first matching call that goes wrong, counted from 1. */
  readonly from?: number;
  /** How many matching calls go wrong; all that follow by default. */
  readonly times?: number;
}

/** What was asked of the stores, faulty calls among it. */
export interface StoreCounts {
  /** Calls that read, listings among them. */
  readonly reads: number;
  readonly rowsRead: number;
  /** Transactions and other calls that write. */
  readonly writes: number;
  readonly transactions: number;
  readonly rowsWritten: number;
  readonly objectsWritten: number;
}

/** Rates above which calls are throttled. */
export interface StoreRates {
  /** Rows and objects. */
  readonly writesPerSecond: number;
  /** Rows asked for by key, listings and others. */
  readonly readsPerSecond: number;
}

type Run<T> = () => Promise<Outcome<T, StoreError>>;

const NO_COUNTS: StoreCounts = {
  reads: 0,
  rowsRead: 0,
  writes: 0,
  transactions: 0,
  rowsWritten: 0,
  objectsWritten: 0,
};

/** The faults of one platform; shared by its four stores. */
export class StoreFaults {
  private rules: {readonly rule: FaultRule; seen: number}[] = [];
  private total = NO_COUNTS;
  private readonly writeLimit: RateLimit;
  private readonly readLimit: RateLimit;

  /**
   * @param clock - Time for delays and rates.
   * @param rates - Limits; none by default.
   */
  constructor(
    private readonly clock: Clock,
    rates: Partial<StoreRates> = {},
  ) {
    this.writeLimit = new RateLimit(clock, rates.writesPerSecond ?? Infinity);
    this.readLimit = new RateLimit(clock, rates.readsPerSecond ?? Infinity);
  }

  /** What was asked so far. */
  get counts(): StoreCounts {
    return this.total;
  }

  /** Counts from nothing again. */
  resetCounts(): void {
    this.total = NO_COUNTS;
  }

  /**
   * Adds a rule. Of several that match, the one added last decides.
   *
   * @param rule - Which calls go wrong, and how.
   * @returns A disposable that takes the rule away.
   */
  add(rule: FaultRule): Disposable {
    const entry = {rule, seen: 0};
    this.rules.unshift(entry);
    return {
      [Symbol.dispose]: () => {
        this.rules = this.rules.filter(e => e !== entry);
      },
    };
  }

  /** Takes all rules away. */
  clear(): void {
    this.rules = [];
  }

  /**
   * Carries a call out, or lets it go wrong.
   *
   * @param call - What is asked.
   * @param run - Carries it out.
   * @returns What the caller gets to know.
   */
  async apply<T>(
    call: StoreCall,
    run: Run<T>,
  ): Promise<Outcome<T, StoreError>> {
    this.total = addCall(this.total, call);
    const retryAfterMs = this.overRate(call);
    if (retryAfterMs > 0) return failure({kind: 'throttled', retryAfterMs});
    const fault = this.faultOf(call);
    if (!fault) return run();
    const handle = HANDLERS[fault.kind] as Handler<StoreFault>;
    return (await handle(fault, call, this.clock, run)) as Outcome<
      T,
      StoreError
    >;
  }

  private overRate(call: StoreCall): number {
    const limit = call.writes ? this.writeLimit : this.readLimit;
    const cost = call.method === 'list' ? 1 : Math.max(1, call.keys.length);
    return limit.take(cost);
  }

  private faultOf(call: StoreCall): StoreFault | undefined {
    let decided: StoreFault | undefined;
    for (const entry of this.rules) {
      const {fault, matches, from = 1, times = Infinity} = entry.rule;
      if (matches && !matches(call)) continue;
      entry.seen++;
      const due = entry.seen >= from && entry.seen < from + times;
      if (due) decided ??= fault;
    }
    return decided;
  }
}

type Handler<F extends StoreFault> = (
  fault: F,
  call: StoreCall,
  clock: Clock,
  run: Run<unknown>,
) => Promise<Outcome<unknown, StoreError>>;

type Handlers = {
  readonly [K in StoreFault['kind']]: Handler<
    Extract<StoreFault, {readonly kind: K}>
  >;
};

const HANDLERS: Handlers = {
  down: async () => failure(unavailable('no', 'the store is down')),
  slow: async ({delayMs}, call, clock, run) => {
    await sleep(clock, delayMs);
    return run();
  },
  ['answer-lost']: async ({afterMs = 0}, call, clock, run) => {
    await run();
    if (afterMs > 0) await sleep(clock, afterMs);
    return hidden(call);
  },
  ['request-lost']: async ({afterMs = 0}, call, clock) => {
    if (afterMs > 0) await sleep(clock, afterMs);
    return hidden(call);
  },
  ['lands-late']: async ({delayMs}, call, clock, run) => {
    clock.after(delayMs, () => void run());
    return hidden(call);
  },
  throttled: async ({retryAfterMs}) =>
    failure({kind: 'throttled', retryAfterMs}),
};

/** What a caller knows whose answer never came. */
function hidden(call: StoreCall): Outcome<never, StoreError> {
  const message = `no answer to ${call.method}`;
  return failure(unavailable(call.writes ? 'unknown' : 'no', message));
}

function unavailable(applied: 'no' | 'unknown', message: string): StoreError {
  return {kind: 'unavailable', applied, message};
}

function addCall(counts: StoreCounts, call: StoreCall): StoreCounts {
  const {store, method, writes, keys} = call;
  const isTransaction = method === 'write';
  return {
    reads: counts.reads + (writes ? 0 : 1),
    rowsRead: counts.rowsRead + (method === 'read' ? keys.length : 0),
    writes: counts.writes + (writes ? 1 : 0),
    transactions: counts.transactions + (isTransaction ? 1 : 0),
    rowsWritten: counts.rowsWritten + (isTransaction ? keys.length : 0),
    objectsWritten:
      counts.objectsWritten + (store === 'objects' && writes ? 1 : 0),
  };
}
