import test from 'ava';
import fc from 'fast-check';
import {eventData, EventSplitter} from '../../lib/request/stream_events.js';

test('events come out complete for any split of the stream into chunks', t => {
  const text = fc.stringMatching(/^[a-z0-9 :]{0,12}$/);
  fc.assert(
    fc.property(
      fc.array(text, {minLength: 1}),
      fc.array(fc.nat({max: 200})),
      fc.constantFrom('\n', '\r\n'),
      (texts, cuts, lineEnd) => {
        const stream = texts
          .map((data, i) => [`id: ${i + 1}`, `data: ${data}`, '', ''])
          .map(lines => lines.join(lineEnd))
          .join('');
        const splitter = new EventSplitter();
        const events = splitAt(Buffer.from(stream), cuts).flatMap(chunk =>
          splitter.push(chunk),
        );
        t.deepEqual(events.map(eventData), texts);
        t.deepEqual(
          events.map(({id}) => id),
          [...texts.keys()].map(i => i + 1),
        );
        t.is(Buffer.concat(events.map(e => e.bytes)).toString(), stream);
        t.false(splitter.hasPartialEvent);
      },
    ),
  );
});

// Guards against a stream of which nothing is passed on, because its lines end
// in another way that the format allows.
for (const end of ['\n', '\r\n'])
  test(`events come out at each byte with lines that end with ${JSON.stringify(end)}`, t => {
    const events = [['id: 1', 'data: a'], [': b'], ['data: c', 'id: 2']].map(
      lines => `${[...lines, ''].join(end)}${end}`,
    );
    const splitter = new EventSplitter();
    const found = [...events.join('')].flatMap(byte =>
      splitter.push(Buffer.from(byte)),
    );
    t.deepEqual(
      found.map(({bytes}) => bytes.toString()),
      events,
    );
    t.deepEqual(
      found.map(({id}) => id),
      [1, undefined, 2],
    );
    t.false(splitter.hasPartialEvent);
    const whole = new EventSplitter().push(Buffer.from(events.join('')));
    t.deepEqual(
      whole.map(({bytes}) => bytes.toString()),
      events,
    );
  });

test('an incomplete event is buffered', t => {
  const splitter = new EventSplitter();
  t.is(splitter.push(Buffer.from('id: 1\ndata: a\n')).length, 0);
  t.true(splitter.hasPartialEvent);
});

// Guards against results that lack a part of the target's text: characters that
// end a line in a regular expression, but not in a stream, cut the data off.
test('only a line feed or a carriage return ends a line of data', t => {
  const event = {id: 1, bytes: Buffer.from('id: 1\ndata: a\u2028b\n\n')};
  t.is(eventData(event), 'a\u2028b');
  const data = fc.string({
    unit: fc.constantFrom(...'a: \t\v\u0085\u2028\u2029'),
  });
  const lines = fc.array(data, {minLength: 1, maxLength: 3});
  const lineEnd = fc.constantFrom('\n', '\r\n');
  fc.assert(
    fc.property(lines, lineEnd, (texts, end) => {
      const fields = ['id: 1', ...texts.map(text => `data: ${text}`), ''];
      const bytes = Buffer.from(`${fields.join(end)}\n`);
      t.is(eventData({id: 1, bytes}), texts.join('\n'));
    }),
    {seed: 7},
  );
});

function splitAt(bytes: Buffer, cuts: readonly number[]): readonly Buffer[] {
  const offsets = [...new Set([0, ...cuts, bytes.length])]
    .filter(cut => cut <= bytes.length)
    .sort((a, b) => a - b);
  return offsets.slice(1).map((end, i) => bytes.subarray(offsets[i], end));
}
