import type {Order, OrderOutcome} from '@oathead/core';
import test from 'ava';
import {FakeEngine} from '../fake_engine.js';
import {SETTINGS, startService} from '../service_fixture.js';

let orders = 0;

function order(token: number, id = `o${++orders}`): Order {
  const action = {
    kind: 'load-version',
    model: 'review',
    version: 'v2',
  } as const;
  return {id, fence: {token, holder: `holder-${token}`}, action};
}

function textOf(outcome: OrderOutcome): string {
  return outcome.kind === 'taken' ? 'taken' : outcome.refusal.kind;
}

// A holder of orders is paused; its successor has a version loaded; then this
// process restarts and forgets the token. The old holder wakes and orders the
// old version back. Unless the process first learns who holds orders now, the
// engine, which ignores fences, would obey it.
test('an old holder is refused across a restart of the process', async t => {
  const engine = new FakeEngine();
  const first = await startService({engine, seed: 1});
  const learn = (service: typeof first.service, token: number, boot: string) =>
    service.heartbeat({
      entryId: 'e1',
      cfgRevision: 1,
      orderFence: {token, bootId: boot},
    });
  await learn(first.service, 6, first.service.bootId);
  t.is(textOf(await first.service.order(order(6))), 'taken');
  const second = await startService({engine, seed: 2});
  t.is(textOf(await second.service.order(order(5))), 'fenced');
  // Read for the earlier boot, perhaps before the successor came.
  await learn(second.service, 5, first.service.bootId);
  t.is(textOf(await second.service.order(order(5))), 'fenced');
  await learn(second.service, 6, second.service.bootId);
  t.is(textOf(await second.service.order(order(5))), 'fenced');
  t.is(textOf(await second.service.order(order(7))), 'taken');
  t.is(textOf(await second.service.order(order(6))), 'fenced');
  t.deepEqual(
    engine.orders.map(({fence}) => fence.token),
    [6, 7],
  );
});

test('the engine checks, or the process by what it has seen', async t => {
  const taken = async (fenceCheck: 'fenced' | 'unchecked') => {
    const settings = {engine: {...SETTINGS.engine!, fenceCheck}};
    const {service} = await startService({settings});
    const outcomes: string[] = [];
    for (const token of [3, 2]) {
      outcomes.push(textOf(await service.order(order(token))));
    }
    return outcomes;
  };
  t.deepEqual(await taken('fenced'), ['taken', 'taken']);
  t.deepEqual(await taken('unchecked'), ['taken', 'fenced']);
});

// The answer to an order is lost with its connection, so the link sends the
// order again.
test('an order that comes twice is given once', async t => {
  const settings = {
    engine: {...SETTINGS.engine!, fenceCheck: 'fenced' as const},
  };
  const {service, engine} = await startService({settings});
  const same = order(1);
  const outcomes = [await service.order(same), await service.order(same)];
  t.deepEqual(outcomes.map(textOf), ['taken', 'taken']);
  t.is(engine.orders.length, 1);
});

// A holder's order is slow on its way to the engine; its successor's is quick.
// Sent side by side, the old one could reach the engine last.
test('an order waits for the one before it', async t => {
  const settings = {
    engine: {...SETTINGS.engine!, fenceCheck: 'unchecked' as const},
  };
  const {service, engine, pass} = await startService({settings});
  let take!: () => void;
  engine.orderTaken = new Promise(resolve => (take = resolve));
  const outcomes = [service.order(order(1)), service.order(order(2))];
  await pass(0);
  t.deepEqual(
    engine.orders.map(({fence}) => fence.token),
    [1],
  );
  take();
  t.deepEqual((await Promise.all(outcomes)).map(textOf), ['taken', 'taken']);
  t.is(engine.orders.length, 2);
});
