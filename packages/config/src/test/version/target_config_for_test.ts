import test from 'ava';
import {targetConfigFor} from '../../lib/version/target_config_for.js';
import {configFleet} from '../fakes/config_fleet.js';

const KEY_HASH = 'a'.repeat(64);

test('a target is told of its own models and of unusual weights', async t => {
  const {store, newCache} = configFleet();
  await store.apply('models', 'm', {maxOnline: 3});
  await store.apply('versions', 'm-1', {model: 'm', weights: 'w'});
  await store.apply('models', 'm', {maxOnline: 3, version: 'm-1'});
  await store.apply('models', 'other', {});
  await store.apply('models', 'limits', {type: 'service'});
  await store.apply('callers', 'bank-a', {keyHashes: [KEY_HASH], weight: 2});
  await store.apply('callers', 'bank-b', {keyHashes: [KEY_HASH]});
  await store.apply('targets', 't', {
    pools: ['m', 'limits'],
    address: '10.0.0.1:7410',
    dataCentre: 'hall-a',
  });
  const {cache} = newCache();
  await cache.start();
  const config = targetConfigFor(cache.current(), 't', ['f1'])!;
  t.like(config, {
    revision: 8,
    callerWeights: {'bank-a': 2},
    blocked: ['f1'],
    leaving: false,
  });
  t.is(config.pools[0]!.version, 'm-1');
  t.deepEqual(
    config.pools.map(({pool, kind, maxOnline}) => [pool, kind, maxOnline]),
    [
      ['m', 'model', 3],
      ['limits', 'service', 64],
    ],
  );
  t.is(targetConfigFor(cache.current(), 'unknown'), undefined);
  cache[Symbol.dispose]();
});
