/**
 * One chunk in the memory of the entry that holds its share: what each item is
 * at, and what is not recorded yet.
 */
import {
  isFinalItemState,
  mayHaveRun,
  nextItemState,
  poolOf,
} from '@oathead/core';
import type {Answer, ItemEvent, ItemState, Refusal} from '@oathead/core';
import type {Row} from '@oathead/stores';
import type {JobItem} from '../request/job.js';
import {
  chunkOf,
  packStates,
  recordedAs,
  unpackStates,
} from '../request/job_rows.js';
import type {ChunkRow, JobRow, RecordedState} from '../request/job_rows.js';
import {ItemHistory} from './item_history.js';
import {ReadyItems} from './ready_items.js';

/** What an outcome holds beyond its state. */
export interface OutcomeBody {
  readonly answer?: Answer;
  readonly refusal?: Refusal;
}

/** One outcome as an object keeps it. */
export interface StoredOutcome extends OutcomeBody {
  /** Index of the item within its chunk. */
  readonly index: number;
}

/** Where a chunk belongs. */
export interface ChunkPlace {
  /** The job, by `jobPath`. */
  readonly path: string;
  readonly n: number;
  readonly share: number;
  /** Epoch of the share under which this entry holds the chunk. */
  readonly epoch: number;
}

/** One chunk in memory. */
export class ChunkWork {
  /** Aborted when the chunk is this entry's no more. */
  readonly dropped = new AbortController();
  /** Abort controllers of the running items. */
  readonly running = new Map<number, AbortController>();
  /** Outcomes that are not recorded yet. */
  readonly unrecorded = new Map<number, OutcomeBody>();
  /** When the oldest unrecorded outcome came, on this process's clock. */
  unrecordedSince = Infinity;
  /** Something has to be recorded soon. */
  urgent = false;
  /** What earlier attempts have come to. */
  readonly history: ItemHistory;
  /** Items that may run now. */
  readonly ready = new ReadyItems();
  /** Items that are not sent before a row says that they are started. */
  readonly claims = new Set<number>();
  /** Nothing new of it is started. */
  draining = false;
  /** Its job was cancelled. */
  cancelling = false;

  private readonly states: ItemState[];
  private recorded: RecordedState[];
  private stored: ChunkRow | undefined;
  private finalItems = 0;
  private readonly inherited: boolean;

  /**
   * @param place - Where the chunk belongs.
   * @param job - Its job.
   * @param items - Its items.
   * @param base - Its row as read, if there is one.
   */
  constructor(
    readonly place: ChunkPlace,
    readonly job: JobRow,
    readonly items: readonly JobItem[],
    private base: Row | undefined,
  ) {
    this.stored = base && chunkOf(base);
    this.inherited = this.stored !== undefined;
    const letters = this.stored?.states;
    this.recorded = letters
      ? unpackStates(letters)
      : items.map(() => 'waiting');
    this.states = [...this.recorded];
    this.history = new ItemHistory(this.stored?.losses ?? {});
    this.finalItems = this.states.filter(isFinalItemState).length;
    for (const index of items.keys()) this.inherit(index);
  }

  /** The row as last read or written, if there is one. */
  get row(): Row | undefined {
    return this.base;
  }

  /** Whether every item has its outcome, recorded or not. */
  get finished(): boolean {
    return this.finalItems === this.items.length;
  }

  /** Whether the recorded row closes the chunk. */
  get closed(): boolean {
    return this.stored?.closed ?? false;
  }

  /** Items that are sent, or are about to be. */
  get inFlight(): number {
    return this.running.size + this.claims.size;
  }

  /** Whether giving it up costs nothing but loading it again. */
  get isIdle(): boolean {
    const busy = this.inFlight > 0 || this.unrecorded.size > 0;
    return !busy && !this.urgent && !this.draining && !this.cancelling;
  }

  /**
   * @param index - Index of an item.
   * @returns Its state.
   */
  state(index: number): ItemState {
    return this.states[index]!;
  }

  /**
   * @param index - Index of an item.
   * @returns Whether its outcome stands.
   */
  isFinal(index: number): boolean {
    return isFinalItemState(this.states[index]!);
  }

  /**
   * An item that is not idempotent is never sent before the chunk's row says
   * so. Without a row of a holder before, and not sent from here, it has not
   * run; of any other item that cannot be said.
   *
   * @param index - Index of an item.
   * @returns Whether it has certainly not run.
   */
  neverRan(index: number): boolean {
    if (this.items[index]!.idempotent || this.inherited) return false;
    return !this.history.wasSent(index);
  }

  /**
   * @param pool - A model or service.
   * @returns How many items for it wait for a row that says they are started.
   */
  claimedCount(pool: string): number {
    const claims = [...this.claims];
    return claims.filter(i => poolOf(this.items[i]!.work) === pool).length;
  }

  /**
   * @param index - An item that may run again.
   * @param where - Its place in line.
   */
  putReady(index: number, where: 'first' | 'last' = 'last'): void {
    const state = this.states[index];
    if (state !== 'waiting' && state !== 'suspect') return;
    this.ready.put(poolOf(this.items[index]!.work), index, where);
  }

  /**
   * Tells an item what happened to it. After an outcome nothing changes any
   * more: the first one stands.
   *
   * @param index - Index of the item.
   * @param event - What happened.
   * @returns Whether it changed anything.
   */
  tell(index: number, event: ItemEvent): boolean {
    const before = this.states[index]!;
    const after = nextItemState(before, event);
    if (after === before) return false;
    this.states[index] = after;
    if (isFinalItemState(after)) this.finalItems++;
    return true;
  }

  /**
   * Keeps the outcome of an item that has just come to its end.
   *
   * @param index - Index of the item.
   * @param body - Its outcome.
   * @param now - Milliseconds on this process's clock.
   */
  conclude(index: number, body: OutcomeBody, now: number): void {
    this.unrecorded.set(index, body);
    this.unrecordedSince = Math.min(this.unrecordedSince, now);
    this.history.forget(index);
    if (!this.items[index]!.idempotent) this.urgent = true;
  }

  /**
   * @param outcomes - Items whose outcomes are in the objects of the row.
   * @param claimed - Items that are claimed by the row.
   * @param object - Key of the object that holds the outcomes.
   * @returns The row to be written.
   */
  nextRow(
    outcomes: ReadonlySet<number>,
    claimed: ReadonlySet<number>,
    object: string | undefined,
  ): ChunkRow {
    const states = this.states.map((state, index) => {
      const known = this.recorded[index]!;
      if (isFinalItemState(known) || outcomes.has(index)) return state;
      if (claimed.has(index)) return 'started';
      if (isFinalItemState(state)) return known;
      return this.items[index]!.idempotent ? unstarted(state) : state;
    });
    const recorded = states.map(recordedAs);
    const objects = this.stored?.objects ?? [];
    return {
      epoch: this.place.epoch,
      states: packStates(recorded),
      losses: this.history.losses,
      objects: object === undefined ? objects : [...objects, object],
      closed: recorded.every(isFinalItemState),
    };
  }

  /**
   * Takes in that a row stands in the store.
   *
   * @param row - The row.
   * @param outcomes - Items whose outcomes are in the objects of the row.
   * @param now - Milliseconds on this process's clock.
   */
  commit(row: Row, outcomes: ReadonlySet<number>, now: number): void {
    this.base = row;
    this.stored = chunkOf(row);
    this.recorded = unpackStates(this.stored.states);
    for (const index of outcomes) this.unrecorded.delete(index);
    this.unrecordedSince = this.unrecorded.size > 0 ? now : Infinity;
  }

  /**
   * @param index - Index of an item.
   * @returns Its state as the stored row has it.
   */
  recordedState(index: number): RecordedState {
    return this.recorded[index]!;
  }

  /** Gives the chunk up: what is not recorded now never will be from here. */
  drop(): void {
    this.dropped.abort();
    for (const abort of this.running.values()) abort.abort();
  }

  /**
   * Takes an item over from a holder before, as the row has it. One that is not
   * idempotent and was started may have run, and must not run again.
   */
  private inherit(index: number): void {
    const {idempotent} = this.items[index]!;
    this.tell(index, {type: 'orphan', idempotent});
    const lost = this.states[index] === 'unknown';
    if (lost && this.recorded[index] !== 'unknown') {
      const refusal = mayHaveRun(
        'outcome-unknown',
        'its holder was lost after it was started',
      );
      this.conclude(index, {refusal}, -Infinity);
    }
    this.putReady(index);
  }
}

/** That an item that may be repeated was started is nothing to remember. */
function unstarted(state: ItemState): ItemState {
  return state === 'started' ? 'waiting' : state;
}
