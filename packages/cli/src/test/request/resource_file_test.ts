import test from 'ava';
import fc from 'fast-check';
import {parseDue} from '../../lib/request/due.js';
import {parseResourceFile, planOf} from '../../lib/request/resource_file.js';

test('reads one resource, a list, and what get printed', t => {
  const model = {kind: 'models', name: 'm', spec: {}};
  const printed = {...model, resourceVersion: 3, status: {conditions: []}};
  for (const content of [model, [model], {revision: 7, resources: [printed]}]) {
    const parsed = parseResourceFile(JSON.stringify(content));
    t.like(parsed, {ok: true, value: [{kind: 'models', name: 'm'}]});
  }
});

test('any file is read or refused with problems, never an exception', t => {
  const resource = fc.record({
    kind: fc.constantFrom('models', 'targets', 'callers', 'x'),
    name: fc.string(),
    spec: fc.jsonValue(),
  });
  const content = fc.oneof(
    fc.string(),
    fc.json(),
    fc.array(resource).map(all => JSON.stringify(all)),
  );
  fc.assert(
    fc.property(content, text => {
      const parsed = parseResourceFile(text);
      if (parsed.ok) t.true(planOf(parsed.value).length >= parsed.value.length);
      else t.is(parsed.err.kind, 'usage');
    }),
    {seed: 5, numRuns: 500},
  );
});

test('any due time is a time or refused', t => {
  fc.assert(
    fc.property(fc.string(), text => {
      const due = parseDue(text, 0);
      t.true(!due.ok || Number.isFinite(due.value?.dueAt));
    }),
    {seed: 5, numRuns: 500},
  );
  t.like(parseDue('2030-01-31T06:00:00+02:00', 0), {
    value: {dueAt: Date.UTC(2030, 0, 31, 4), relative: false},
  });
});
