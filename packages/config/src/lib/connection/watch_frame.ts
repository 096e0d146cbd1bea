/** How an event of a watch travels: as a server-sent event. */
import type {WatchEvent} from './watch.js';

/**
 * @param event - An event of a watch.
 * @returns Its text in an event stream. Its id is the revision.
 */
export function watchFrame(event: WatchEvent): string {
  const id = event.type === 'gone' ? '' : `id: ${event.revision}\n`;
  return `${id}event: ${event.type}\ndata: ${JSON.stringify(event)}\n\n`;
}
