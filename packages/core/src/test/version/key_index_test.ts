import test from 'ava';
import {hashOfKey, KeyIndex} from '../../lib/version/key_index.js';

test('a key is found by its hash, in any case of the digits', t => {
  const index = new KeyIndex<string>();
  index.add(hashOfKey('one').toUpperCase(), 'bank-one');
  index.add(hashOfKey('two'), 'bank-one');
  t.is(index.ownerOf('one'), 'bank-one');
  t.is(index.ownerOf('two'), 'bank-one');
  for (const key of ['', 'One', 'one ', 'ключ', '\0'])
    t.is(index.ownerOf(key), undefined);
});

// A request runs under the account of another: two have the same key.
test('a key of two owners stays with the first', t => {
  const index = new KeyIndex<string>();
  t.is(index.add(hashOfKey('one'), 'bank-one'), undefined);
  t.is(index.add(hashOfKey('one'), 'bank-one'), undefined);
  const shared = index.add(hashOfKey('one'), 'bank-other');
  t.deepEqual(shared?.owners, ['bank-one', 'bank-other']);
  t.is(index.ownerOf('one'), 'bank-one');
});

test('a hash that is none belongs to no key', t => {
  const index = new KeyIndex<string>();
  index.add('not a hash', 'bank-one');
  t.is(index.ownerOf('not a hash'), undefined);
});
