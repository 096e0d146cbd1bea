import test from 'ava';
import {
  CHANGE_PREFIX,
  changeIdKey,
  changeKey,
} from '../../lib/process/config_rows.js';
import {configFleet, refusalOf, valueOf} from '../fakes/config_fleet.js';

test('declares with defaults, reads back, changes, deletes', async t => {
  const {store} = configFleet();
  const made = valueOf(await store.apply('models', 'review-llm', {}));
  t.is(made.resourceVersion, 1);
  t.is(made.spec.maxOnline, 64);
  const changed = valueOf(
    await store.apply('models', 'review-llm', {maxOnline: 8}, {ifMatch: 1}),
  );
  t.deepEqual(valueOf(await store.get('models', 'review-llm')), changed);
  t.deepEqual(valueOf(await store.list('models')), {
    revision: 2,
    resources: [changed],
  });
  valueOf(await store.delete('models', 'review-llm', {ifMatch: 2}));
  t.is(refusalOf(await store.get('models', 'review-llm')).kind, 'not-found');
});

// Two operators change the same resource at once. Both read version 1, both
// write; without a condition the second would silently undo the first.
test('the loser of a race gets a conflict with the current version', async t => {
  const {store, table, clock} = configFleet();
  valueOf(await store.apply('models', 'm', {maxOnline: 1}));
  table.beforeWrite = async () => {
    valueOf(await store.apply('models', 'm', {maxOnline: 2}, {ifMatch: 1}));
  };
  const losing = store.apply('models', 'm', {maxOnline: 3}, {ifMatch: 1});
  await clock.advance(1_000);
  t.like(refusalOf(await losing), {
    kind: 'revision-conflict',
    currentVersion: 2,
  });
  t.is(valueOf(await store.get('models', 'm')).spec.maxOnline, 2);
  const absent = await store.apply('models', 'm', {}, {ifMatch: 'absent'});
  t.like(refusalOf(absent), {kind: 'revision-conflict', currentVersion: 2});
});

// The store writes a change and its answer is lost. The operator is told
// nothing useful unless the writer finds out; a blind retry would change twice.
test('a lost answer is read back, not written again', async t => {
  const {store, loseOneAnswer, keys, clock} = configFleet();
  loseOneAnswer();
  const applying = store.apply('models', 'm', {});
  await clock.advance(1_000);
  t.is(valueOf(await applying).resourceVersion, 1);
  t.is((await keys(CHANGE_PREFIX)).length, 1);
});

// An answer is lost and the store stays down. The operator gets no answer, a
// colleague changes the resource, then the operator sends the change again: it
// must not undo the colleague's.
test('a resend with the same change id is the same change', async t => {
  const {store, loseOneAnswer, goDown, clock} = configFleet();
  const first = {changeId: 'op-1'};
  loseOneAnswer();
  const applying = store.apply('models', 'm', {maxOnline: 1}, first);
  await clock.advance(0);
  const outage = goDown();
  await clock.advance(10_000);
  t.like(refusalOf(await applying), {
    kind: 'store-unavailable',
    ran: 'may-have-run',
  });
  outage[Symbol.dispose]();
  valueOf(await store.apply('models', 'm', {maxOnline: 2}));
  const resent = await store.apply('models', 'm', {maxOnline: 1}, first);
  t.is(valueOf(resent).resourceVersion, 1);
  t.is(valueOf(await store.get('models', 'm')).spec.maxOnline, 2);
  const other = await store.apply('models', 'm', {maxOnline: 3}, first);
  t.is(refusalOf(other).kind, 'key-conflict');
});

test('a resend without an id, on the same condition, changes nothing', async t => {
  const {store, keys} = configFleet();
  valueOf(await store.apply('models', 'm', {maxOnline: 1}));
  const wish = {maxOnline: 2};
  const once = valueOf(await store.apply('models', 'm', wish, {ifMatch: 1}));
  const twice = valueOf(await store.apply('models', 'm', wish, {ifMatch: 1}));
  t.deepEqual(twice, once);
  t.is((await keys(CHANGE_PREFIX)).length, 2);
});

test('refuses what leads nowhere, and to delete what is in use', async t => {
  const {store} = configFleet();
  const version = {model: 'm', weights: 'm-1'};
  t.like(refusalOf(await store.apply('versions', 'm-1', version)), {
    kind: 'invalid-request',
    problems: [{path: 'spec.model', message: 'models/m is not declared'}],
  });
  valueOf(await store.apply('models', 'm', {}));
  valueOf(await store.apply('versions', 'm-1', version));
  valueOf(await store.apply('models', 'm', {version: 'm-1'}));
  t.like(refusalOf(await store.delete('models', 'm')), {
    kind: 'invalid-request',
    problems: [{path: 'versions/m-1.spec.model'}],
  });
  t.like(refusalOf(await store.delete('versions', 'm-1')), {
    problems: [{path: 'models/m.spec.version'}],
  });
  t.like(
    refusalOf(
      await store.apply('versions', 'm-1', {model: 'm', weights: 'other'}),
    ),
    {problems: [{path: 'spec.weights'}]},
  );
});

// A version is declared while another operator deletes its model. Each saw the
// other's resource as it was before; together they would leave a dead name.
test('a reference and the deletion of what it names cannot both happen', async t => {
  const {store, table, clock} = configFleet();
  valueOf(await store.apply('models', 'm', {}));
  table.beforeWrite = async () => {
    valueOf(await store.apply('versions', 'm-1', {model: 'm', weights: 'w'}));
  };
  const deleting = store.delete('models', 'm');
  await clock.advance(1_000);
  t.is(refusalOf(await deleting).kind, 'invalid-request');
});

test('the log is bounded, with the ids of its changes', async t => {
  const {store, keys} = configFleet(3);
  for (let maxOnline = 1; maxOnline <= 10; maxOnline++) {
    valueOf(await store.apply('models', 'm', {maxOnline}));
  }
  t.deepEqual(await keys(CHANGE_PREFIX), [8, 9, 10].map(changeKey));
  t.is((await keys(changeIdKey(''))).length, 3);
});
