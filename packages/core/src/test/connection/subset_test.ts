import test from 'ava';
import {subsetOf} from '../../lib/connection/subset.js';
import {rendezvous} from '../../lib/process/hash.js';

const PER_TARGET = 5;
const names = (kind: string, count: number) =>
  Array.from({length: count}, (unused, i) => `${kind}-${i}`);

function links(
  entries: readonly string[],
  targets: readonly string[],
): Set<string> {
  const all = entries.flatMap(entry =>
    subsetOf(entry, entries, targets, PER_TARGET).map(
      target => `${entry} ${target}`,
    ),
  );
  return new Set(all);
}

const countMissing = (from: Set<string>, other: Set<string>) =>
  [...from].filter(link => !other.has(link)).length;

test('assigns the same number of entries to every target', t => {
  const targets = names('target', 60);
  const all = links(names('entry', 20), targets);
  t.is(all.size, targets.length * PER_TARGET);
  for (const target of targets) {
    t.is([...all].filter(x => x.endsWith(` ${target}`)).length, PER_TARGET);
  }
});

test('removing an entry or a target moves only its own links', t => {
  const entries = names('entry', 20);
  const targets = names('target', 60);
  const before = links(entries, targets);
  const lost = [...before].filter(x => x.startsWith('entry-0 ')).length;
  const fewerEntries = links(entries.slice(1), targets);
  t.is(countMissing(before, fewerEntries), lost);
  t.is(countMissing(fewerEntries, before), lost);
  const fewerTargets = links(entries, targets.slice(1));
  t.is(countMissing(before, fewerTargets), PER_TARGET);
  t.is(countMissing(fewerTargets, before), 0);
});

test('a small number of entries connects to all targets', t => {
  const targets = names('target', 6);
  t.deepEqual(subsetOf('entry-0', names('entry', 3), targets, 5), targets);
});

test('agrees with the first names of the rendezvous order', t => {
  const entries = names('entry', 40);
  const targets = names('target', 80);
  for (const entry of [...entries, 'unknown']) {
    const expected = targets.filter(target =>
      rendezvous(target, entries).slice(0, PER_TARGET).includes(entry),
    );
    t.deepEqual(subsetOf(entry, entries, targets, PER_TARGET), expected);
  }
});
