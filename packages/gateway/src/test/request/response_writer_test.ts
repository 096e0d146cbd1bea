import type {ServerResponse} from 'node:http';
import test from 'ava';
import {ResponseWriter} from '../../lib/request/response_writer.js';
import {EventSplitter} from '../../lib/request/stream_events.js';

const HEAD = {status: 200, headers: {}};

/** @returns A writer to a caller that has events up to 3. */
function newWriter(): ResponseWriter {
  const res = {writableLength: 0, writeHead: () => {}, write: () => true};
  return new ResponseWriter(res as unknown as ServerResponse, 3, () => 0);
}

function write(writer: ResponseWriter, text: string): void {
  writer.events(new EventSplitter().push(Buffer.from(text)), HEAD);
}

// Guards against an event that comes twice: a comment arrives together with it,
// the stream breaks off, and another target is asked to go on before it.
test('a stream goes on after its last event, also if a comment follows it', t => {
  const writer = newWriter();
  write(writer, 'id: 4\ndata: a\n\n: still here\n\n');
  t.is(writer.lastEventId, 4);
  t.is(writer.nextEventId, 5);
  write(writer, ': still here\n\n');
  t.is(writer.lastEventId, 4);
});
