import test from 'ava';
import {ResponseMemory} from '../../lib/process/response_memory.js';

const MB = 1024 * 1024;
const TOTAL_BYTES = 96 * MB;
const SHORT_BYTES = 1024;

// Guards against long bodies of a faulty target that make short ones fail.
test('long bodies are refused beyond the total, short ones are not', t => {
  const memory = new ResponseMemory();
  for (let taken = 0; taken < TOTAL_BYTES; taken += MB)
    t.true(memory.take(MB, 8 * MB));
  t.false(memory.take(1, 8 * MB));
  t.true(memory.take(SHORT_BYTES, SHORT_BYTES));
  memory.release(2 * MB);
  t.true(memory.take(MB, 8 * MB));
});
