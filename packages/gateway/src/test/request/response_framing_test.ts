import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import type {ResponseHead} from '../../lib/request/exchange.js';
import {ResponseWriter} from '../../lib/request/response_writer.js';

const BODY = Buffer.from('half of an ans');
const EVENT = {id: 1, bytes: Buffer.from('id: 1\ndata: a\n\n')};
/** Long enough for the event to be sent first, in milliseconds. */
const ABORT_AFTER_MS = 100;
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

// Guards against a truncated answer that looks complete: only the last chunk
// marks the end of a body with transfer codings.
for (const coding of ['identity', 'gzip', 'chunked, gzip'])
  test(`a body in transfer coding ${coding} has no stated end`, async t => {
    const headers = {...UNFRAMED.headers, 'transfer-encoding': coding};
    const head = {...UNFRAMED, headers};
    const text = await received(t, writer => writer.sendComplete(head, BODY));
    t.notRegex(text, /content-length/i);
  });

for (const coding of ['chunked', 'Chunked', 'gzip, chunked'])
  test(`a body in transfer coding ${coding} has a stated end`, async t => {
    const head = {status: 200, headers: {'transfer-encoding': coding}};
    const text = await received(t, writer => writer.sendComplete(head, BODY));
    t.regex(text, /^content-length: 14\r$/im);
  });

test('a body with a stated end gets a length', async t => {
  const text = await received(t, writer => writer.sendComplete(FRAMED, BODY));
  t.regex(text, /^content-length: 14\r$/im);
});

test('a stream with a stated end gets it from the gateway', async t => {
  const text = await received(t, writer => {
    writer.events([EVENT], FRAMED);
    writer.endStream(FRAMED);
  });
  t.regex(text, LAST_CHUNK);
});

// Guards against a truncated stream that looks complete: its target resets a
// response without a length, and the end of the caller's connection shows the
// caller no more than the end of a whole response.
test('a stream without a length that is aborted has no end', async t => {
  const text = await received(t, writer => {
    writer.events([EVENT], UNFRAMED);
    setTimeout(() => writer.abort(), ABORT_AFTER_MS);
  });
  t.regex(text, /^transfer-encoding: chunked\r$/im);
  t.notRegex(text, LAST_CHUNK);
});
