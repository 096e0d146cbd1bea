/** The parts of an answer that comes as server-sent events. */
import {createParser} from 'eventsource-parser';
import type {EventSourceMessage} from 'eventsource-parser';

/**
 * @param chunks - The body.
 * @returns Its events, as they come.
 */
export async function* sseParts(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<EventSourceMessage> {
  const messages: EventSourceMessage[] = [];
  const parser = createParser({onEvent: message => messages.push(message)});
  const decoder = new TextDecoder();
  for await (const chunk of chunks) {
    parser.feed(decoder.decode(chunk, {stream: true}));
    yield* messages.splice(0);
  }
}
