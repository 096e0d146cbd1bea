import test from 'ava';
import {ByteBuffer} from '../../lib/request/byte_buffer.js';

const LENGTHS = [1, 3, 0, 5000, 2, 70_000, 1];
const PARTS = 3000;

// Guards against bytes that are lost or out of order when parts are copied together.
test('bytes in parts of all lengths come back in order', t => {
  const buffer = new ByteBuffer();
  const parts = [...Array(PARTS).keys()].map(i =>
    Buffer.alloc(
      LENGTHS[(i * 31) % LENGTHS.length]! % (i < 2000 ? 9 : 80_000),
      i,
    ),
  );
  for (const part of parts) buffer.push(part);
  const whole = Buffer.concat(parts);
  t.is(buffer.length, whole.length);
  t.true(buffer.bytes().equals(whole));
  buffer.clear();
  t.is(buffer.length, 0);
  t.is(buffer.bytes().length, 0);
});
