/** The text of an item as the events of a run arrive. */
import type {Clock} from '@oathead/core';
import {
  eventData,
  isComment,
  type EventSink,
  type ResponseHead,
  type StreamEvent,
} from '@oathead/gateway';
import type {ItemWork} from './item_work.js';

const STATUS_OK = 200;

/**
 * Appends the events of a run to the text of its item. A run that goes on with
 * the text is asked for the events after the last numbered one, so data without
 * a number belongs to the text only once a number follows, or the text is whole.
 */
export class ItemText implements EventSink {
  /** When this run received its first event; undefined before it. */
  firstEventAtMs: number | undefined;
  /** Number of texts that this run has received. */
  texts = 0;
  /** Data after the last numbered event. */
  private readonly unnumbered: string[] = [];

  /**
   * @param work - The item.
   * @param clock - Times the first event.
   */
  constructor(
    private readonly work: ItemWork,
    private readonly clock: Clock,
  ) {}

  /** {@inheritDoc EventSink.events} */
  events(events: readonly StreamEvent[], head: ResponseHead): boolean {
    if (head.status !== STATUS_OK) return true;
    this.firstEventAtMs ??= this.clock.now();
    for (const event of events) if (!isComment(event)) this.append(event);
    return true;
  }

  /** Completes the text. */
  complete(): void {
    this.work.texts.push(...this.unnumbered.splice(0));
  }

  private append(event: StreamEvent): void {
    this.texts++;
    this.unnumbered.push(eventData(event));
    if (event.id === undefined) return;
    this.complete();
    this.work.lastEventId = event.id;
  }
}
