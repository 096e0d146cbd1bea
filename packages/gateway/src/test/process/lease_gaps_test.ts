/** Leases at a host that hears from the store only now and then. */
import {seededRandom} from '@oathead/core';
import test from 'ava';
import type {Member} from '../../lib/process/member.js';
import {feed, incarnation, newMembership} from '../fakes/heartbeats.js';

const HOSTS = [...Array(6).keys()].map(i => incarnation(`h${i}`, '1'));
const [SILENT, ...LIVE] = HOSTS as [Member, ...Member[]];
/** As far apart as relayed responses after a call that got no response. */
const SELDOM_S = 1.6;
/** A lease of 3.5 s, of which each such response counts for a heartbeat. */
const MAX_SECONDS_TO_LAPSE = 10;

// Guards against a host that never learns of dead ones: its responses come more
// than 1.5 s apart, each of which was taken for an outage of the store that
// extends all leases.
test('a dead host lapses where responses of the store are seldom', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  applyHeartbeats(100, ...HOSTS);
  let seconds = 100;
  while (seconds < 100 + MAX_SECONDS_TO_LAPSE - SELDOM_S) {
    seconds += SELDOM_S;
    applyHeartbeats(seconds, ...LIVE);
    for (const {id} of LIVE) t.true(members.holdsLease(id));
  }
  t.true(members.hasLapsed(SILENT.id));
});

test('a dead host lapses where only one other host is left', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  const [live] = LIVE;
  applyHeartbeats(100, SILENT, live!);
  for (let seconds = 100; seconds < 100 + MAX_SECONDS_TO_LAPSE - SELDOM_S;)
    applyHeartbeats((seconds += SELDOM_S), live!);
  t.true(members.hasLapsed(SILENT.id));
});

// Guards against the same after a loss of half of the hosts, in which the others
// show less clearly that the store is there.
test('half of the hosts lapse where responses of the store are seldom', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  const left = HOSTS.slice(HOSTS.length / 2);
  applyHeartbeats(100, ...HOSTS);
  for (let seconds = 100; seconds < 130 - SELDOM_S;)
    applyHeartbeats((seconds += SELDOM_S), ...left);
  t.deepEqual(members.peers(), left);
});

const FLEET = 340;
/** 80 heartbeats a second by all hosts. */
const FLEET_INTERVAL_S = FLEET / 80;
const FLEET_LEASE_S = 3.5 * FLEET_INTERVAL_S;

// Guards against live hosts that are taken for lost, and dead ones that are not,
// in a fleet in which each response brings the heartbeats of a part of all.
test('only the dead host lapses in a large fleet where responses are seldom', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  const hosts = [...Array(FLEET).keys()].map(i => incarnation(`h${i}`, '1'));
  const dead = hosts[7]!;
  applyHeartbeats(100, ...hosts);
  const beatsUntil = (seconds: number, i: number) =>
    Math.floor((seconds - 100) / FLEET_INTERVAL_S + i / FLEET);
  const endS = 100 + 2 * FLEET_LEASE_S;
  for (let seconds = 100; seconds < endS; seconds += SELDOM_S) {
    const sent = hosts.filter(
      (host, i) =>
        host !== dead &&
        beatsUntil(seconds + SELDOM_S, i) > beatsUntil(seconds, i),
    );
    applyHeartbeats(seconds + SELDOM_S, ...sent);
    t.true(members.peers().length >= FLEET - 1);
  }
  t.true(members.hasLapsed(dead.id));
});

// Guards against live hosts that are taken for lost after an outage of the
// store, because the heartbeats of others got through first.
test('after an outage a host keeps its lease until its heartbeat gets through', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  applyHeartbeats(100, ...HOSTS);
  applyHeartbeats(101.5);
  applyHeartbeats(131.5, ...LIVE);
  t.true(members.holdsLease(SILENT.id));
  applyHeartbeats(132.5, ...LIVE);
  applyHeartbeats(133.4, ...LIVE);
  t.true(members.holdsLease(SILENT.id));
  applyHeartbeats(133.5, SILENT);
  t.true(members.holdsLease(SILENT.id));
});

// Guards against the same while the store comes back only for moments, in which
// few heartbeats get through.
test('no host is declared dead while the store is out again and again', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  applyHeartbeats(100, ...HOSTS);
  for (let outage = 1; outage <= 30; outage++) {
    const passed = HOSTS[outage % HOSTS.length]!;
    applyHeartbeats(100 + outage * 5, passed);
    for (const {id} of HOSTS) t.true(members.holdsLease(id), `${outage} ${id}`);
  }
});

/** Part of the heartbeats that get through. */
for (const share of [0.1, 0.3, 0.5, 0.7, 0.9])
  test(`no host is declared dead while ${share} of heartbeats pass between outages`, t => {
    const random = seededRandom(1);
    const members = newMembership();
    const applyHeartbeats = feed(members);
    applyHeartbeats(100, ...HOSTS);
    for (let outage = 1; outage <= 30; outage++) {
      const passed = HOSTS.filter(() => random.float() < share);
      applyHeartbeats(100 + outage * 5, ...passed);
      t.is(members.peers().length, HOSTS.length, `outage ${outage}`);
    }
  });

// Guards against all others taken for lost by a host that hears of no heartbeat:
// the store takes none.
test('no host is declared dead while responses are seldom and nobody writes', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  applyHeartbeats(100, ...HOSTS);
  for (let i = 1; i <= 30; i++) applyHeartbeats(100 + i * SELDOM_S);
  for (const {id} of HOSTS) t.true(members.holdsLease(id));
});
