/**
 * What really happened, seen from outside of the system: how often each engine
 * and service ran each item, and how often an outcome was recorded.
 */
import type {Clock, Work} from '@oathead/core';
import {inputText} from '@oathead/core';

/** One time that an engine or service took an item. */
export interface Run {
  readonly item: string;
  readonly target: string;
  readonly class: 'online' | 'batch';
  readonly startedAt: number;
  endedAt?: number;
  /** Whether it was answered whole. */
  done?: boolean;
}

/** An online request on its way to its engine. */
interface Arrival {
  readonly item: string;
  readonly target: string;
  readonly at: number;
}

/** An outcome of a batch item in the row of its chunk. */
export interface RecordedItem {
  readonly state: string;
  readonly at: number;
}

/** Collects what happened. */
export class Observer {
  readonly runs: Run[] = [];
  /** Online requests that waited while batch work was started. */
  readonly heldUp: string[] = [];
  /** Recorded outcomes that were changed later. */
  readonly rewritten: string[] = [];
  /** Errors that a process threw across its edge. */
  readonly thrown: unknown[] = [];
  /** When each target began to leave. */
  readonly leavingSince = new Map<string, number>();
  /** Requests that reached a target which had long been leaving. */
  readonly sentToLeaving: string[] = [];
  private readonly arrivals = new Set<Arrival>();
  private readonly recorded = new Map<string, RecordedItem>();

  /** @param clock - Time outside. */
  constructor(private readonly clock: Clock) {}

  /** The time, in milliseconds. */
  get now(): number {
    return this.clock.now();
  }

  /** A request has reached a target process. */
  arrived(item: string, target: string, isOnline: boolean): void {
    const at = this.clock.now();
    if (isOnline) this.arrivals.add({item, target, at});
  }

  /** An engine or service has taken an item. */
  started(item: string, target: string, isOnline: boolean): Run {
    const startedAt = this.clock.now();
    for (const arrival of this.arrivals) {
      if (arrival.target !== target) continue;
      if (isOnline && arrival.item === item) this.arrivals.delete(arrival);
      else if (!isOnline && arrival.at < startedAt) this.heldUp.push(item);
    }
    const run: Run = {
      item,
      target,
      class: isOnline ? 'online' : 'batch',
      startedAt,
    };
    this.runs.push(run);
    const leaving = this.leavingSince.get(target);
    if (leaving !== undefined && startedAt - leaving > LEAVING_GRACE_MS) {
      this.sentToLeaving.push(item);
    }
    return run;
  }

  /** The request of an arrival has ended without being started. */
  endedUnstarted(item: string, target: string): void {
    for (const arrival of this.arrivals) {
      const same = arrival.target === target && arrival.item === item;
      if (same) this.arrivals.delete(arrival);
    }
  }

  /** A target process has died: what waited there waits no more. */
  died(target: string): void {
    for (const arrival of this.arrivals) {
      if (arrival.target === target) this.arrivals.delete(arrival);
    }
  }

  /** @returns How often engines and services took an item. */
  startsOf(item: string): number {
    return this.runs.filter(run => run.item === item).length;
  }

  /** A row says that an item has this state. */
  record(item: string, state: string): void {
    const known = this.recorded.get(item);
    if (known && known.state !== state) this.rewritten.push(item);
    if (!known) this.recorded.set(item, {state, at: this.clock.now()});
  }

  /** @returns What is recorded of an item, if anything. */
  recordOf(item: string): RecordedItem | undefined {
    return this.recorded.get(item);
  }
}

/** Work that was sent before a target said that it leaves may still start. */
const LEAVING_GRACE_MS = 3_000;

const FIRST_WORD = /^\S+/;

/**
 * Every piece of work names itself: the first word of a prompt, the field `id`
 * of a call.
 *
 * @param work - What a caller wants done.
 * @returns Its name.
 */
export function itemOf(work: Work): string {
  if (work.kind === 'completion') {
    return FIRST_WORD.exec(inputText(work.input))?.[0] ?? '';
  }
  return (JSON.parse(work.body) as {readonly id: string}).id;
}
