import {NO_EVENT_LOG, seededRandom} from '@oathead/core';
import test from 'ava';
import {pack} from 'msgpackr';
import {targetKey} from '../../lib/connection/load_message.js';
import {
  decodeSpeeds,
  encodeSpeeds,
  MAX_SPEED_ENTRIES,
  SPEED_FORMAT,
  type SpeedMessage,
} from '../../lib/connection/speed_message.js';
import {
  SPEED_REPORT_MS,
  SpeedReporter,
} from '../../lib/process/speed_reporter.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {TargetSpeeds} from '../../lib/process/target_speeds.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newIncarnation, newTarget} from '../fakes/targets.js';

const TARGETS = [...Array(9).keys()].map(i => newTarget(`t${i}`));
const SLOW = TARGETS[0]!;
const PACE_MS = 26;

function newHost(id: string, clock = new FakeClock()) {
  const directory = new TargetDirectory({clock, log: NO_EVENT_LOG});
  for (const target of TARGETS) directory.put(target);
  const speeds = new TargetSpeeds({clock, isLearning: true});
  directory.onRemoved(one => speeds.remove(one));
  const counted: string[] = [];
  const reporter = new SpeedReporter({
    self: {id, dataCentre: 'a'},
    speeds,
    directory,
    counters: {
      count: (name, labels) => counted.push([name, labels?.outcome].join(' ')),
    },
    random: seededRandom(1),
    now: () => clock.now(),
    coordinator: () => undefined,
  });
  /** Runs one request at each target. */
  const run = (slowness: number) => {
    for (const target of TARGETS) {
      const ms = PACE_MS * (target === SLOW ? slowness : 1);
      speeds.record(target, {
        kind: 'online pace',
        ms,
        inFlight: 1,
        isNewRun: true,
      });
    }
  };
  return {clock, directory, speeds, reporter, counted, run};
}

const PEERS = [...Array(20).keys()].map(i => ({
  id: `p${i}`,
  dataCentre: i < 10 ? 'a' : 'b',
}));

function messageOf(host: string, sequence: number, log: number): SpeedMessage {
  const entries = TARGETS.map(target => ({
    key: targetKey(target.id),
    logRatio: target === SLOW ? log : 0,
    count: 2,
    nearlyFull: false,
  }));
  return {host, sequence, service: 's', entries};
}

// Guards against datagrams that are sent for nothing on fleets of equal
// targets, and against more of them the larger the fleet is.
test('reports are sent only while targets differ, to a few hosts in turn', t => {
  const host = newHost('h');
  const reported = new Set<string>();
  for (let round = 0; round < 20; round++) {
    host.clock.advance(SPEED_REPORT_MS);
    host.run(1);
    t.deepEqual(host.reporter.takeDueReports(PEERS), []);
  }
  for (let round = 0; round < 20; round++) {
    host.clock.advance(SPEED_REPORT_MS);
    host.run(5);
    for (const {message, peers} of host.reporter.takeDueReports(PEERS)) {
      t.true(peers.length <= 6);
      t.true(encodeSpeeds(message).length < 200);
      t.is(peers.filter(({dataCentre}) => dataCentre === 'a').length, 5);
      for (const {id} of peers) reported.add(id);
    }
  }
  t.is(reported.size, PEERS.length);
});

// Guards against a host that needs minutes to learn what others know, as it has
// few runs at each target itself.
test('hosts learn from others, and lost reports only delay it', t => {
  const host = newHost('h');
  const tell = (sequence: number) => {
    host.clock.advance(SPEED_REPORT_MS);
    host.run(1);
    for (const from of ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'])
      if ((sequence + from.length) % 3 > 0)
        host.reporter.receive(messageOf(from, sequence, Math.log(4)));
  };
  for (let sequence = 1; sequence <= 12; sequence++) tell(sequence);
  t.true(host.speeds.slownessOf(SLOW).regular > 1.5);
});

// Guards against a report that counts twice or after a later one.
test('doubled, overtaken and own reports are ignored', t => {
  const host = newHost('h');
  host.reporter.receive(messageOf('h1', 2, 1));
  host.reporter.receive(messageOf('h1', 2, 1));
  host.reporter.receive(messageOf('h1', 1, 1));
  host.reporter.receive(messageOf('h', 9, 1));
  t.deepEqual(host.counted, [
    'speed_reports applied',
    'speed_reports old',
    'speed_reports old',
    'speed_reports old',
  ]);
});

// Guards against a host that was frozen or cut off and, when it is back, tells
// of what it saw before or while it woke up.
test('a host that stood still tells nothing old', t => {
  const host = newHost('h');
  for (let round = 0; round < 10; round++) host.run(5);
  t.not(host.reporter.takeDueReports(PEERS).length, 0);
  host.run(5);
  host.clock.advance(10 * SPEED_REPORT_MS);
  t.deepEqual(host.reporter.takeDueReports(PEERS), []);
});

// Guards against a server that restarts, with a new ID or under the same one,
// and counts as slow although only the one before was.
test('a target that restarts is like its service', t => {
  const host = newHost('h');
  const before = newIncarnation('i', 1000);
  host.directory.put(before);
  const slow = {
    kind: 'online pace',
    ms: PACE_MS * 4,
    inFlight: 1,
    isNewRun: true,
  };
  for (let round = 0; round < 10; round++) {
    host.run(1);
    host.speeds.record(before, slow);
  }
  host.clock.advance(SPEED_REPORT_MS);
  t.true(host.speeds.slownessOf(before).regular > 2);
  const after = newIncarnation('i', 2000);
  host.directory.put(after);
  t.is(host.speeds.slownessOf(before).regular, 1);
  t.is(host.speeds.slownessOf(after).regular, 1);
  const late = messageOf('h1', 1, 1);
  const key = targetKey(before.id);
  const entry = {key, logRatio: 1, count: 1, nearlyFull: false};
  host.reporter.receive({...late, entries: [entry]});
  t.true(host.counted.includes('speed_entries_unknown '));
});

// Guards against a host with a bad clock or bad memory that makes others send
// all requests to one target.
test('bad values are refused', t => {
  const key = Number(targetKey('t0'));
  const good = [key, 300, 2, false];
  const encode = (...entries: unknown[]) =>
    pack([SPEED_FORMAT, 'h1', 1, 's', entries]);
  t.is(decodeSpeeds(encode(good))?.entries.length, 1);
  for (const bad of [
    [key, NaN, 2, false],
    [key, Infinity, 2, false],
    [key, 1e9, 2, false],
    [key, 300, 0, false],
    [key, 300, -2, false],
    [key, 300, 1e9, false],
    [-1, 300, 2, false],
    [key, 300, 2],
    ['t0', 300, 2, false],
  ])
    t.is(decodeSpeeds(encode(good, bad)), undefined, JSON.stringify(bad));
  const many = Array.from({length: MAX_SPEED_ENTRIES + 1}, () => good);
  t.is(decodeSpeeds(encode(...many)), undefined);
  t.is(decodeSpeeds(pack([SPEED_FORMAT + 1, 'h1', 1, 's', []])), undefined);
  t.is(decodeSpeeds(Buffer.from('no msgpack')), undefined);
});
