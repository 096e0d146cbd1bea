import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import type {ResponseHead} from '../../lib/request/exchange.js';
import {ResponseWriter} from '../../lib/request/response_writer.js';

const BODY = Buffer.from('half of an ans');
const EVENT = {id: 1, bytes: Buffer.from('id: 1\ndata: a\n\n')};
/** Last chunk of a chunked body, which marks its end. */
const LAST_CHUNK = /\r\n0\r\n\r\n$/;

/** Head of a response that states where its body ends. */
const FRAMED: ResponseHead = {
  status: 200,
  headers: {'transfer-encoding': 'chunked', seal: 's'},
};
/** Head of a response whose body ends with the connection. */
const UNFRAMED: ResponseHead = {
  status: 200,
  headers: {connection: 'close', seal: 's'},
};

/**
 * @param write - Writes the response to the one request.
 * @returns All bytes that the caller receives until its connection ends.
 */
async function received(
  t: ExecutionContext,
  write: (writer: ResponseWriter) => void,
): Promise<string> {
  const server = createServer((req, res) => {
    req.resume();
    write(new ResponseWriter(res, undefined, () => performance.now()));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => {});
  caller.write('GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n');
  const chunks: Buffer[] = [];
  caller.on('data', chunk => chunks.push(chunk));
  await once(caller, 'close');
  return Buffer.concat(chunks).toString();
}

// Guards against a truncated answer that looks complete: a target breaks off an
// answer without a length, and the caller gets its part with a length.
test('a body without a length from the target gets none from the gateway', async t => {
  const text = await received(t, writer => writer.sendComplete(UNFRAMED, BODY));
  t.notRegex(text, /content-length|transfer-encoding/i);
  t.regex(text, /^connection: close\r$/im);
  t.true(text.endsWith(`\r\n\r\n${BODY}`));
});

test('a body with a stated end gets a length', async t => {
  const text = await received(t, writer => writer.sendComplete(FRAMED, BODY));
  t.regex(text, /^content-length: 14\r$/im);
});

// Guards against a truncated stream that looks complete: its target breaks it
// off between two events, and the gateway writes the end of the stream.
test('a stream without a stated end gets none from the gateway', async t => {
  const text = await received(t, writer => {
    writer.events([EVENT], UNFRAMED);
    writer.endStream(UNFRAMED);
  });
  t.notRegex(text, /content-length|transfer-encoding/i);
  t.true(text.endsWith(`\r\n\r\n${EVENT.bytes}`));
});

test('a stream with a stated end gets it from the gateway', async t => {
  const text = await received(t, writer => {
    writer.events([EVENT], FRAMED);
    writer.endStream(FRAMED);
  });
  t.regex(text, LAST_CHUNK);
});

// Guards against a truncated stream that looks complete: a later run, whose
// answer has no length, is broken off after an earlier one with a stated end.
test('a stream whose last run has no stated end is aborted', async t => {
  let ended: boolean | undefined;
  const text = await received(t, writer => {
    writer.events([EVENT], FRAMED);
    ended = writer.endStream(UNFRAMED);
  });
  t.false(ended);
  t.notRegex(text, LAST_CHUNK);
});
