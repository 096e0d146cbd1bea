import test from 'ava';
import {ConfigSnapshot} from '../../lib/version/resource.js';
import type {Resource, ResourceKind} from '../../lib/version/resource.js';

function resource(kind: ResourceKind, name: string, version: number): Resource {
  return {kind, name, resourceVersion: version, spec: {} as Resource['spec']};
}

const BEFORE = new ConfigSnapshot(2, [
  resource('callers', 'bank-a', 1),
  resource('models', 'm', 2),
]);

test('finds resources by kind and name', t => {
  t.is(BEFORE.get('models', 'm')?.resourceVersion, 2);
  t.is(BEFORE.get('models', 'bank-a'), undefined);
  t.deepEqual(BEFORE.all('targets'), []);
  t.deepEqual(
    BEFORE.resources.map(({name}) => name),
    ['m', 'bank-a'],
  );
});

test('a change does not modify the previous snapshot', t => {
  const after = BEFORE.advance([
    {type: 'put', revision: 3, resource: resource('models', 'm', 3)},
    {type: 'put', revision: 4, resource: resource('models', 'n', 4)},
    {type: 'delete', revision: 5, resource: resource('callers', 'bank-a', 1)},
  ]);
  t.is(after.revision, 5);
  t.deepEqual(
    after.resources.map(({name, resourceVersion}) => [name, resourceVersion]),
    [
      ['m', 3],
      ['n', 4],
    ],
  );
  t.is(BEFORE.get('models', 'm')?.resourceVersion, 2);
  t.is(BEFORE.all('callers').length, 1);
  t.is(BEFORE.advance([]), BEFORE);
});
