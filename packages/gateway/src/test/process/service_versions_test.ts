import {NO_EVENT_LOG} from '@oathead/core';
import test from 'ava';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newTarget} from '../fakes/targets.js';

const READ_INTERVAL_MS = 500;
const STREAM_LIFETIME_MS = 15_000;

/** A host that reads a list with one target of software version v1. */
function newHost() {
  const clock = new FakeClock();
  const directory = new TargetDirectory({
    clock,
    log: NO_EVENT_LOG,
    streamLifetimeMs: () => STREAM_LIFETIME_MS,
  });
  const follow = (ms: number) => {
    for (let i = 0; i < ms; i += READ_INTERVAL_MS) {
      clock.advance(READ_INTERVAL_MS);
      directory.recordListRead();
    }
  };
  directory.recordListRead();
  directory.put(newTarget('one', {softwareVersion: 'v1'}));
  return {clock, directory, follow};
}

test('a version is the only one after it has been so for long enough', t => {
  const {directory, follow} = newHost();
  follow(STREAM_LIFETIME_MS - READ_INTERVAL_MS);
  t.is(directory.onlyVersion('s'), undefined);
  follow(READ_INTERVAL_MS);
  t.is(directory.onlyVersion('s'), 'v1');
  t.is(directory.onlyVersion('other'), undefined);
});

// Guards against a stream that is taken for one of the new version: the old one
// has left the list while the stream may still be taken up.
test('a version that has left counts for as long as its streams may last', t => {
  const {directory, follow} = newHost();
  follow(STREAM_LIFETIME_MS);
  directory.put(newTarget('two', {softwareVersion: 'v2', leaving: true}));
  t.is(directory.onlyVersion('s'), undefined);
  directory.remove('one', 0);
  t.false(directory.hasVersion('s', 'v1'));
  t.false(directory.hasVersion('s', 'v2'));
  follow(STREAM_LIFETIME_MS);
  t.deepEqual([...directory.versions.seen('s')], ['v2', 'v1']);
  follow(READ_INTERVAL_MS);
  t.is(directory.onlyVersion('s'), 'v2');
});

// Guards against a host that takes its old list for the present one: another
// version may have come and gone while the store was away.
test('no version is the only one after an outage of the list', t => {
  const {clock, directory, follow} = newHost();
  follow(STREAM_LIFETIME_MS);
  clock.advance(2000);
  t.is(directory.onlyVersion('s'), undefined);
  directory.recordListRead();
  follow(STREAM_LIFETIME_MS - READ_INTERVAL_MS);
  t.is(directory.onlyVersion('s'), undefined);
  follow(READ_INTERVAL_MS);
  t.is(directory.onlyVersion('s'), 'v1');
});

test('a listener hears of each version that was not listed lately', t => {
  const {directory, follow} = newHost();
  let heard = 0;
  directory.onVersionListed(() => heard++);
  directory.put(newTarget('two', {softwareVersion: 'v1'}));
  t.is(heard, 0);
  directory.put(newTarget('three', {softwareVersion: 'v2'}));
  directory.put(newTarget('four', {softwareVersion: 'v2'}));
  t.is(heard, 1);
  directory.remove('three', 0);
  directory.remove('four', 0);
  follow(STREAM_LIFETIME_MS + READ_INTERVAL_MS);
  directory.put(newTarget('five', {softwareVersion: 'v2'}));
  t.is(heard, 2);
});
