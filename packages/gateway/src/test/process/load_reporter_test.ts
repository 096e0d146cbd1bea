import {seededRandom} from '@oathead/core';
import test from 'ava';
import type {LoadMessage} from '../../lib/connection/load_message.js';
import {LoadTable, type HostLoad} from '../../lib/process/load_table.js';
import {
  DEFAULT_LOAD_REPORT_OPTIONS,
  LoadReporter,
  type LoadPeer,
} from '../../lib/process/load_reporter.js';

const DATA_CENTRES = ['a', 'b', 'c'] as const;
const HOSTS = 20;
const LOAD: HostLoad = new Map([['t', {online: 2, batch: 1}]]);

function hostsOf(dataCentre: string, count: number): readonly LoadPeer[] {
  return [...Array(count).keys()].map(i => ({
    id: `${dataCentre}-${i}`,
    dataCentre,
  }));
}

/** Creates a host of data centre `a` with a clock that the test controls. */
function newHost() {
  let now = 0;
  const table = new LoadTable(() => now);
  const self = {id: 'a-self', dataCentre: 'a'};
  const context = {self, table, now: () => now, random: seededRandom(1)};
  const reporter = new LoadReporter<LoadPeer>(
    context,
    DEFAULT_LOAD_REPORT_OPTIONS,
  );
  const sums = (peers: readonly LoadPeer[], forMs: number) => {
    const until = now + forMs;
    const found = [];
    for (; now < until; now += DEFAULT_LOAD_REPORT_OPTIONS.periodMs) {
      const due = reporter.takeDueReports(peers);
      found.push(...due.filter(({message}) => message.sumOf > 0));
    }
    return found;
  };
  return {table, reporter, sums};
}

function reportOf(rest: Partial<LoadMessage>): LoadMessage {
  const plain = {host: 'x', dataCentre: 'b', sequence: 1, sumOf: 0, load: LOAD};
  return {...plain, ...rest};
}

const MANY = DATA_CENTRES.flatMap(name => hostsOf(name, HOSTS));

test('in a large fleet one host of each other data centre gets a sum per round', t => {
  const {reporter, sums} = newHost();
  reporter.takeDueReports(MANY);
  for (const {id: host, dataCentre} of hostsOf('a', 3))
    reporter.receive(reportOf({host, dataCentre}));
  const reports = sums(MANY, 2000);
  t.true(reports.length > 0);
  for (const {message, peers} of reports) {
    t.deepEqual(peers.map(({dataCentre}) => dataCentre).sort(), ['b', 'c']);
    t.true(message.sumOf >= 1);
  }
  t.is(reports[0]!.message.load.get('t')?.online, 6);
});

// Targets look free to a whole data centre for seconds: the one host that
// reported the loads of another data centre to it has failed. The next round
// goes to another host.
test('sums go to the hosts of a data centre in turn', t => {
  const {sums} = newHost();
  // Two rounds for each host, because timers are up to one period late.
  const reports = sums(MANY, 2 * HOSTS * DEFAULT_LOAD_REPORT_OPTIONS.relayMs);
  const receivers = reports.flatMap(({peers}) => peers.map(({id}) => id));
  t.true(new Set(receivers).size === 2 * HOSTS, `${new Set(receivers).size}`);
});

test('in a small fleet loads are reported to each host directly', t => {
  const {sums} = newHost();
  t.deepEqual(
    sums(
      DATA_CENTRES.flatMap(name => hostsOf(name, 2)),
      3000,
    ),
    [],
  );
});

// Targets look twice as busy as they are: while hosts join and leave, one host
// reports its load to all, and another includes it in the sum that it reports.
test('a load reported individually and in a sum counts once', t => {
  const large = newHost();
  large.reporter.takeDueReports(MANY);
  large.reporter.receive(reportOf({host: 'b-1', sumOf: 3}));
  large.reporter.receive(reportOf({host: 'b-2'}));
  t.deepEqual(large.table.totalAt('t'), {online: 2, batch: 1});
  const small = newHost();
  small.reporter.takeDueReports(hostsOf('b', 2));
  small.reporter.receive(reportOf({host: 'b-2'}));
  small.reporter.receive(reportOf({host: 'b-1', sumOf: 3}));
  t.deepEqual(small.table.totalAt('t'), {online: 2, batch: 1});
});

// A burst goes to full targets: a host that has just started and knows one
// neighbour reports the load of its data centre.
test('a sum over few hosts does not replace one over many', t => {
  const {table, reporter} = newHost();
  reporter.takeDueReports(MANY);
  reporter.receive(reportOf({host: 'b-1', sumOf: 20}));
  reporter.receive(reportOf({host: 'b-2', sumOf: 2, load: new Map()}));
  t.deepEqual(table.totalAt('t'), {online: 2, batch: 1});
  reporter.receive(reportOf({host: 'b-3', sumOf: 19, load: new Map()}));
  t.deepEqual(table.totalAt('t'), {online: 0, batch: 0});
});
