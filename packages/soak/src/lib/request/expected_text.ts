/** What targets answer to each path. */
import {formatEvent} from '@oathead/platform/stand_ins';

/** Events of a stream. */
export const EVENTS = 12;

/**
 * @param path - Of a request for tokens.
 * @returns The text of its whole stream.
 */
export function wholeStream(path: string): string {
  return eventNumbers()
    .map(n => formatEvent(n, wordOf(path, n)))
    .join('');
}

/**
 * @param path - Of an item.
 * @returns The item's text.
 */
export function wholeText(path: string): string {
  return eventNumbers()
    .map(n => wordOf(path, n))
    .join('\n');
}

function eventNumbers(): readonly number[] {
  return [...Array(EVENTS).keys()].map(i => i + 1);
}

/**
 * @param path - Of a request or an item.
 * @param n - Number of an event, from 1.
 * @returns The data of the event.
 */
export function wordOf(path: string, n: number): string {
  return `${path}#${n}`;
}
