import test from 'ava';
import {CacheIndex} from '../../lib/process/cache_index.js';

test('knows what is cached; a gap ends the trust in what came before', t => {
  const index = new CacheIndex();
  index.apply([
    {sequence: 1, kind: 'stored', prefix: 'a', tokens: 10},
    {sequence: 2, kind: 'stored', prefix: 'b', tokens: 20},
    {sequence: 3, kind: 'evicted', prefix: 'a', tokens: 10},
  ]);
  t.deepEqual(index.prefixes(), ['b']);
  index.apply([{sequence: 2, kind: 'stored', prefix: 'a', tokens: 10}]);
  t.is(index.tokens('a'), 0);
  index.apply([{sequence: 6, kind: 'stored', prefix: 'c', tokens: 30}]);
  t.deepEqual(index.prefixes(), ['c']);
  index.apply([{sequence: 7, kind: 'cleared', prefix: '', tokens: 0}]);
  t.deepEqual(index.prefixes(), []);
});
