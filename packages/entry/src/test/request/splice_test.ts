import test from 'ava';
import fc from 'fast-check';
import type {ServeEvent} from '@oathead/core';
import {Delivered} from '../../lib/request/splice.js';
import {DONE, allOf, endText, tokens} from '../fakes.js';

async function* replay(
  ...events: readonly ServeEvent[]
): AsyncGenerator<ServeEvent> {
  yield* events;
}

test('gives what is missing, however the other source cuts it', async t => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.string({minLength: 1, maxLength: 4}), {maxLength: 8}),
      fc.nat(40),
      async (pieces, sent) => {
        const text = pieces.join('');
        const delivered = new Delivered();
        const had = text.slice(0, sent);
        if (had !== '') delivered.note(tokens(0, had));
        let index = 0;
        const source = pieces.map(piece => {
          const event = tokens(index, piece);
          index += piece.length;
          return event;
        });
        const rest = await allOf(delivered.rest(replay(...source)));
        const got = rest.map(e => (e.kind === 'tokens' ? e.text : '')).join('');
        return had + got === text;
      },
    ),
  );
  t.pass();
});

// The home of a key is lost in mid-stream and its successor runs the request
// again, to another end. Half of one answer and half of the other must not
// reach the caller as one.
test('another answer is not spliced on', async t => {
  const delivered = new Delivered();
  delivered.note(tokens(0, 'ax'));
  const rest = await allOf(delivered.rest(replay(tokens(0, 'ab'), DONE)));
  t.is(endText(rest), 'target-lost may-have-run');
});

test('an end that disagrees with what was sent is not taken', async t => {
  const delivered = new Delivered();
  delivered.note(tokens(0, 'ax'));
  const rest = await allOf(delivered.rest(replay(DONE)));
  t.is(endText(rest), 'target-lost may-have-run');
});
