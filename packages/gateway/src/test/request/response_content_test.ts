import test from 'ava';
import {ResponseContent} from '../../lib/request/response_content.js';

function split(content: ResponseContent, text: string) {
  return content.split(Buffer.from(text));
}

// Guards against events that come twice: a target that is to go on with a stream
// sends it from its beginning, without numbers.
test('a run goes on with a stream only by the number that is due', t => {
  t.false(split(new ResponseContent(3), 'data: a\n\n').ok);
  t.false(split(new ResponseContent(3), 'data\n\n').ok);
  t.false(split(new ResponseContent(3), 'id: 2\ndata: a\n\n').ok);
  t.false(split(new ResponseContent(3), 'id: 4\ndata: a\n\n').ok);
  const content = new ResponseContent(3);
  t.true(split(content, ': still here\n\n').ok);
  t.true(split(content, 'retry: 10\n\n').ok);
  t.true(split(content, 'id: 3\ndata: a\n\n').ok);
  t.true(split(content, 'data: last\n\n').ok);
});

test('a new stream may have no numbers', t => {
  t.true(split(new ResponseContent(undefined), 'data: a\n\n').ok);
});
