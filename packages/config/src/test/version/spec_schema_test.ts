import {RESOURCE_KINDS} from '@oathead/core';
import type {Problem} from '@oathead/core';
import test from 'ava';
import fc from 'fast-check';
import {checkSpec, nameProblems} from '../../lib/version/spec_schema.js';
import {refusalOf, valueOf} from '../fakes/config_fleet.js';

const TARGET = {pools: ['m'], address: '10.0.0.1:7410', dataCentre: 'hall-a'};

function paths(kind: Parameters<typeof checkSpec>[0], spec: unknown) {
  const refusal = refusalOf(checkSpec(kind, 'x', spec)) as {
    readonly problems?: readonly Problem[];
  };
  return refusal.problems!.map(({path}) => path);
}

test('a newcomer needs few fields', t => {
  t.like(valueOf(checkSpec('models', 'm', {})), {
    type: 'model',
    firstTokenMs: 390,
    betweenTokensMs: 40,
  });
  t.like(valueOf(checkSpec('targets', 't', TARGET)), {
    fenceCheck: 'unfenced',
    leaving: false,
  });
  t.like(valueOf(checkSpec('limits', 'bank-a', {})), {concurrent: 64});
});

test('lists every problem with its path', t => {
  t.deepEqual(
    paths('targets', {...TARGET, pools: ['m', 'm'], address: 'h:1', x: 1}),
    ['spec.pools', 'spec.address', 'spec'],
  );
  t.deepEqual(paths('models', {batch: {maxHarm: 0}, firstTokenMs: '1'}), [
    'spec.batch.maxHarm',
    'spec.firstTokenMs',
  ]);
  t.deepEqual(paths('models', {type: 'service', version: 'v'}), [
    'spec.version',
  ]);
  t.deepEqual(paths('callers', {keyHashes: ['secret']}), ['spec.keyHashes.0']);
});

test('addresses are IP numbers with a port', t => {
  const address = (text: string) =>
    checkSpec('targets', 't', {...TARGET, address: text}).ok;
  t.true(address('[::1]:80'));
  for (const wrong of ['10.0.0.1', '10.0.0.1:0', '::1:80', '1.2.3:80']) {
    t.false(address(wrong), wrong);
  }
});

test('names are short, plain and never part of a path', t => {
  t.deepEqual(nameProblems('review-llm.v2'), []);
  for (const wrong of ['', 'A', '-a', 'a/b', 'a b', 'a'.repeat(64), 'a\n']) {
    t.is(nameProblems(wrong).length, 1, JSON.stringify(wrong));
  }
});

test('any input is either refused or keeps its meaning when checked again', t => {
  const spec = fc.oneof(
    fc.jsonValue(),
    fc.dictionary(fc.string(), fc.jsonValue()),
  );
  fc.assert(
    fc.property(fc.constantFrom(...RESOURCE_KINDS), spec, (kind, value) => {
      const checked = checkSpec(kind, 'x', value);
      if (!checked.ok) return;
      t.deepEqual(checkSpec(kind, 'x', checked.value), checked);
    }),
    {seed: 3, numRuns: 500},
  );
});
