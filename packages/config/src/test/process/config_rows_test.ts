import type {Json} from '@oathead/stores';
import test from 'ava';
import {
  changeKey,
  decodeChange,
  decodeResource,
  resourceKey,
} from '../../lib/process/config_rows.js';

function resourceRow(spec: Json) {
  const value = {resourceVersion: 3, replaced: 2, spec};
  return {key: resourceKey('models', 'm'), value, version: 9};
}

test('keys of changes sort as their revisions do', t => {
  t.true(
    changeKey(9) < changeKey(10) && changeKey(99_999) < changeKey(100_000),
  );
});

// Entries of two releases run side by side while the system is upgraded. One
// writes a row without a field that the other relies on, or with one it does
// not know.
test('rows of another release are read as far as they are understood', t => {
  const {resource, replaced} = decodeResource(resourceRow({maxOnline: 7}));
  t.is(replaced, 2);
  t.like(resource, {
    resourceVersion: 3,
    spec: {maxOnline: 7, maxTokens: 4_096},
  });
  const newer = decodeResource(resourceRow({maxOnline: 7, later: true}));
  t.deepEqual(newer.resource.spec as object, {maxOnline: 7, later: true});
  const change = {type: 'put', revision: 3, resource: {...resource, spec: {}}};
  const value = {change, changeId: 'c'} as unknown as Json;
  const read = decodeChange({key: changeKey(3), value, version: 1});
  t.like(read.change.resource.spec, {maxOnline: 64});
});
