import test from 'ava';
import {DisposableStore} from '../../lib/process/disposable_store.js';

test('disposes of its items once, in reverse order', t => {
  const store = new DisposableStore();
  const released: string[] = [];
  store.defer(() => released.push('first'));
  store.defer(() => released.push('second'));
  store[Symbol.dispose]();
  store[Symbol.dispose]();
  t.deepEqual(released, ['second', 'first']);
});

test('disposes at once of an item that is added after disposal', t => {
  const store = new DisposableStore();
  store[Symbol.dispose]();
  let released = false;
  store.defer(() => (released = true));
  t.true(released);
});
