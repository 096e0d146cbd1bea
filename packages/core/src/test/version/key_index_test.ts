import test from 'ava';
import {hashOfKey, KeyIndex} from '../../lib/version/key_index.js';

test('finds a key by its hash in upper or lower case', t => {
  const index = new KeyIndex<string>();
  index.add(hashOfKey('one').toUpperCase(), 'bank-one');
  index.add(hashOfKey('two'), 'bank-one');
  t.is(index.ownerOf('one'), 'bank-one');
  t.is(index.ownerOf('two'), 'bank-one');
  for (const key of ['', 'One', 'one ', 'ключ', '\0'])
    t.is(index.ownerOf(key), undefined);
});

// Two accounts are declared with the same key, and a request of one would run
// under the other.
test('a key with two owners stays with the first one', t => {
  const index = new KeyIndex<string>();
  t.is(index.add(hashOfKey('one'), 'bank-one'), undefined);
  t.is(index.add(hashOfKey('one'), 'bank-one'), undefined);
  const shared = index.add(hashOfKey('one'), 'bank-other');
  t.deepEqual(shared?.owners, ['bank-one', 'bank-other']);
  t.is(index.ownerOf('one'), 'bank-one');
});

test('a malformed hash matches no key', t => {
  const index = new KeyIndex<string>();
  index.add('not a hash', 'bank-one');
  t.is(index.ownerOf('not a hash'), undefined);
});
