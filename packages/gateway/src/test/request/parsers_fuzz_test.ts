import test from 'ava';
import fc from 'fast-check';
import {decodeLoad, encodeLoad} from '../../lib/connection/load_message.js';
import {
  decodePlacement,
  encodePlacement,
  PLACEMENT_FORMAT,
  type PlacementCriteria,
  type PlacementMessage,
} from '../../lib/connection/placement_message.js';
import {EventSplitter} from '../../lib/request/stream_events.js';

const RUNS = 2000;
const COUNT = fc.nat(1000);
const LOAD = fc.array(
  fc.tuple(fc.nat(2 ** 32 - 1).map(String), COUNT, COUNT, COUNT),
  {
    maxLength: 20,
  },
);
const EVENTS = fc.array(
  fc.record({id: COUNT, data: fc.stringMatching(/^[a-z ]{0,20}$/)}),
  {maxLength: 10},
);

test('decoders never throw on arbitrary datagrams', t => {
  const property = fc.property(fc.uint8Array({maxLength: 200}), bytes => {
    decodeLoad(bytes);
    decodePlacement(bytes);
  });
  fc.assert(property, {numRuns: RUNS, seed: 7});
  t.pass();
});

test('load messages survive encoding and decoding', t => {
  const counts = fc.tuple(COUNT, COUNT);
  const property = fc.property(LOAD, counts, (entries, [sequence, sumOf]) => {
    const load = new Map(
      entries.map(([key, online, batch, nearlyDone]) => [
        key,
        {online, batch, nearlyDone},
      ]),
    );
    const message = {host: 'h', dataCentre: 'a', sequence, sumOf, load};
    t.deepEqual(decodeLoad(encodeLoad(message)), message);
  });
  fc.assert(property, {numRuns: RUNS / 10, seed: 7});
});

const CRITERIA = fc.oneof(
  fc.record({
    lane: fc.constant('online' as const),
    demand: fc.record({
      goalMs: COUNT,
      priority: COUNT,
      returning: fc.boolean(),
    }),
    near: fc.boolean(),
  }),
  fc.record({
    lane: fc.constant('batch' as const),
    pressure: fc.constantFrom('relaxed' as const, 'pressed' as const),
    avoided: fc.array(fc.string(), {maxLength: 4}),
  }),
) satisfies fc.Arbitrary<PlacementCriteria>;
const PLACEMENT = fc.oneof(
  fc.record({
    kind: fc.constant('ask' as const),
    host: fc.string(),
    askId: COUNT,
    service: fc.string(),
    wish: CRITERIA,
    excluded: fc.array(fc.string(), {maxLength: 4}),
  }),
  fc.record({
    kind: fc.constant('grant' as const),
    askId: COUNT,
    targetId: fc.option(fc.string(), {nil: undefined}),
  }),
  fc.record({
    kind: fc.constant('yield' as const),
    targetId: fc.string(),
    items: COUNT,
  }),
) satisfies fc.Arbitrary<PlacementMessage>;

test('placement messages survive encoding and decoding', t => {
  const property = fc.property(PLACEMENT, message => {
    const bytes = encodePlacement(message);
    t.deepEqual(decodePlacement(bytes), message);
    // The message type is at the offset at which the socket looks for it.
    t.is(bytes[1], PLACEMENT_FORMAT);
  });
  fc.assert(property, {numRuns: RUNS / 10, seed: 7});
});

test('for any split, each event comes out once and complete', t => {
  const property = fc.property(EVENTS, fc.array(fc.nat(9)), (events, cuts) => {
    const text = events
      .map(({id, data}) => `id: ${id}\ndata: ${data}\n\n`)
      .join('');
    const splitter = new EventSplitter();
    const found: Array<number | undefined> = [];
    let rest = Buffer.from(text);
    for (const cut of [...cuts, rest.length]) {
      const piece = rest.subarray(0, cut + 1);
      rest = rest.subarray(cut + 1);
      found.push(...splitter.push(piece).map(({id}) => id));
    }
    t.deepEqual(
      found,
      events.map(({id}) => id),
    );
    t.false(splitter.hasPartialEvent);
  });
  fc.assert(property, {numRuns: RUNS, seed: 7});
});

test('the splitter accepts arbitrary bytes and adds none', t => {
  const pieces = fc.array(fc.uint8Array({maxLength: 60}), {maxLength: 10});
  const property = fc.property(pieces, all => {
    const splitter = new EventSplitter();
    const events = all.flatMap(piece => splitter.push(Buffer.from(piece)));
    const bytes = events.reduce((sum, event) => sum + event.bytes.length, 0);
    t.true(bytes <= all.reduce((sum, piece) => sum + piece.length, 0));
  });
  fc.assert(property, {numRuns: RUNS, seed: 7});
});
