/** What targets answer to each path. */
import {formatEvent} from '@oathead/platform/stand_ins';

/** Events of a stream. */
export const EVENTS = 12;
/** The same of a stream that lasts for long: none pauses for long between two. */
const CHAPTER_EVENTS = 60;
const CHAPTERS_PATH = '/chapters/';

/** Ends the data of each event, and names the version of the server's software. */
const VERSION_MARK = /@(v\d+)$/gm;

/** A text without its marks, and the software versions that they name. */
export interface MarkedText {
  readonly text: string;
  readonly softwareVersions: readonly string[];
}

/** @returns The data of event `n` by a server of some software version. */
export function markedWord(
  softwareVersion: string,
  path: string,
  n: number,
): string {
  return `${wordOf(path, n)}@${softwareVersion}`;
}

/** @returns What a text says without its marks. */
export function readMarks(marked: string): MarkedText {
  const versions = [...marked.matchAll(VERSION_MARK)].map(([, name]) => name!);
  const text = marked.replaceAll(VERSION_MARK, '');
  return {text, softwareVersions: [...new Set(versions)]};
}

/**
 * @param path - Of a request for tokens.
 * @param after - Number of the event after which the stream goes on.
 * @returns The text of the whole rest of its stream.
 */
export function wholeStream(path: string, after = 0): string {
  return eventNumbers(eventsOf(path))
    .slice(after)
    .map(n => formatEvent(n, wordOf(path, n)))
    .join('');
}

/**
 * @param path - Of an item.
 * @returns The item's text.
 */
export function wholeText(path: string): string {
  return eventNumbers(EVENTS)
    .map(n => wordOf(path, n))
    .join('\n');
}

function eventNumbers(events: number): readonly number[] {
  return [...Array(events).keys()].map(i => i + 1);
}

/** @returns Number of the events of the stream of a path. */
export function eventsOf(path: string): number {
  return path.startsWith(CHAPTERS_PATH) ? CHAPTER_EVENTS : EVENTS;
}

/**
 * @param path - Of a request or an item.
 * @param n - Number of an event, from 1.
 * @returns The data of the event.
 */
export function wordOf(path: string, n: number): string {
  return `${path}#${n}`;
}
