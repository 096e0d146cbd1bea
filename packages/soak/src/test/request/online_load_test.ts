import {once} from 'node:events';
import {createServer, type IncomingHttpHeaders} from 'node:http';
import type {AddressInfo} from 'node:net';
import {seededRandom} from '@oathead/core';
import {formatEvent} from '@oathead/platform/stand_ins';
import test from 'ava';
import {LOAD_SHAPES} from '../../lib/process/load_shape.js';
import type {ProgramPlace, SoakFleet} from '../../lib/process/soak_fleet.js';
import {markedWord, EVENTS} from '../../lib/request/expected_text.js';
import {OnlineLoad} from '../../lib/request/online_load.js';

const PATH = '/notes/x';
const NUMBERS = [...Array(EVENTS).keys()].map(i => i + 1);

/** What a program does with one try after the other. */
const TRIES: ReadonlyArray<readonly number[] | 'refuses'> = [
  NUMBERS.slice(0, 3),
  'refuses',
  NUMBERS.slice(3, 5),
  NUMBERS.slice(5),
];

// Callers of the soak that name another attempt or event than clients do would
// see no stream that goes on wrongly.
test('a stream is taken up under its first attempt, after its last event', async t => {
  const asked: IncomingHttpHeaders[] = [];
  const server = createServer((req, res) => {
    const numbers = TRIES[asked.length]!;
    asked.push(req.headers);
    if (numbers === 'refuses') {
      res.writeHead(503).end();
      return;
    }
    res.writeHead(200, {'content-type': 'text/event-stream'});
    for (const n of numbers)
      res.write(formatEvent(n, markedWord('v1', PATH, n)));
    if (numbers.includes(EVENTS)) res.end();
    else setTimeout(() => res.destroy(), 20);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  // The second program is not ready, so that it is never asked.
  const program = {
    front: `127.0.0.1:${port}`,
    pid: 1,
    isReady: async () => true,
  };
  const places = [
    {name: 'host-0', program, ending: false, paused: false},
    {name: 'host-1', program, ending: true, paused: false},
  ];
  const fleet = {programs: places, key: 'k'} as unknown as SoakFleet;
  const load = new OnlineLoad(fleet, seededRandom(1), LOAD_SHAPES.steady);

  const place = places[0] as unknown as ProgramPlace;
  const first = await load.once(place, 'notes', 'k', PATH);
  await load.stop();
  t.deepEqual(
    asked.map(headers => [headers['last-event-id'], headers['resumes']]),
    [
      [undefined, undefined],
      ['3', first.id],
      ['3', first.id],
      ['5', first.id],
    ],
  );
  t.is(
    load.records
      .map(({text}) => text)
      .join('')
      .match(/id: /g)?.length,
    12,
  );
});
