import test from 'ava';
import {DisposableStore} from '../../lib/process/disposable_store.js';

test('releases what it holds, last first, once', t => {
  const store = new DisposableStore();
  const released: string[] = [];
  store.defer(() => released.push('first'));
  store.defer(() => released.push('second'));
  store[Symbol.dispose]();
  store[Symbol.dispose]();
  t.deepEqual(released, ['second', 'first']);
});

test('releases at once what comes after the release', t => {
  const store = new DisposableStore();
  store[Symbol.dispose]();
  let released = false;
  store.defer(() => (released = true));
  t.true(released);
});
