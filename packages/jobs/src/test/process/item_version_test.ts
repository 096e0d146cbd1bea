import test from 'ava';
import {continueAt, newItemWork} from '../../lib/process/item_work.js';

const ITEM = {
  id: 'one',
  path: '/one',
  headers: {},
  body: Buffer.from('one'),
  tokens: 1,
};
const TEXT = {lastEventId: 2, texts: ['a', 'b']};

function workBegunAt(softwareVersion: string | undefined) {
  return newItemWork(0, ITEM, 0, {...TEXT, softwareVersion});
}

test('a text goes on at the software version that began it', t => {
  const work = workBegunAt('v1');
  t.false(continueAt(work, 'v1'));
  t.like(work, {...TEXT, softwareVersion: 'v1'});
});

// Guards against a text that holds events of two software versions.
test('a text starts afresh at another software version', t => {
  const work = workBegunAt('v1');
  t.true(continueAt(work, 'v2'));
  t.like(work, {
    lastEventId: undefined,
    texts: [],
    inheritedTexts: 0,
    checkpointedTexts: 0,
    softwareVersion: 'v2',
  });
});

// Guards against the same with a text that a build stored which does not record
// versions: it may be older than all that is known of versions.
test('a text of unknown version starts afresh', t => {
  const work = workBegunAt(undefined);
  t.true(continueAt(work, 'v1'));
  t.like(work, {lastEventId: undefined, texts: [], softwareVersion: 'v1'});
});

test('an item without a text may run anywhere', t => {
  const work = newItemWork(0, ITEM, 0, undefined);
  t.false(continueAt(work, 'v1'));
  t.is(work.softwareVersion, 'v1');
});
