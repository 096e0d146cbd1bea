import test from 'ava';
import {ItemStarter} from '../../lib/process/item_starter.js';
import {
  ItemRunFixture,
  newCandidate,
  ROUTE,
} from '../fakes/item_run_fixture.js';

/** A host that holds a part of all prompts to crash targets. */
function newBlockingHost() {
  const host = new ItemRunFixture();
  host.blocked = ['s shared'];
  return {host, starter: new ItemStarter(host.context)};
}

// Guards against items that take free slots from others without using them.
test('an item behind the trial of a blocked part looks for no target', async t => {
  const {host, starter} = newBlockingHost();
  const [first, second] = [newCandidate('first'), newCandidate('second')];
  t.is(await starter.start(first, ROUTE), 'placed');
  t.is(first.work.stage.kind, 'running');
  t.is(await starter.start(second, ROUTE), 'selective');
  t.like(second.work.stage, {kind: 'waiting', isBehindTrial: true});
  t.is(host.searches, 1);
});

// Guards against a blocked part whose items are never run again on a host, and
// against a host that ends because one item cannot be started.
test('an item that fails to start leaves the trial to others', async t => {
  const {host, starter} = newBlockingHost();
  const [first, second] = [newCandidate('first'), newCandidate('second')];
  host.failure = new Error('no headers');
  await t.notThrowsAsync(starter.start(first, ROUTE));
  t.is(first.work.stage.kind, 'waiting');
  t.like(host.recorded.events.at(-1), {
    name: 'item-start-failed',
    item: 'first',
  });
  host.failure = undefined;
  t.is(await starter.start(second, ROUTE), 'placed');
});
