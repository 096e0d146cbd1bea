import test from 'ava';
import type {Evidence} from '../../lib/process/evidence.js';
import {VERSION_PROMISES} from '../../lib/process/version_promises.js';

const PROMISE = 'a stream and an item hold one software version';
const FIRST = {id: 'r1', path: '/notes/r1', softwareVersions: ['v1']};
const REFUSED = {...FIRST, id: 'r2', softwareVersions: [], takesUp: FIRST};

/** The versions of the third try of a stream, and how many it is found in. */
const THIRD_TRIES = [
  [['v1'], 0],
  [[], 0],
  [['v2'], 1],
  [['v1', 'v2'], 1],
] as const;

// A caller is refused at its second try, and its stream goes on at another
// software version at the third one.
for (const [softwareVersions, count] of THIRD_TRIES) {
  const how = JSON.stringify(softwareVersions);
  test(`the soak sees versions that are mixed over several tries: ${how}`, t => {
    const third = {...FIRST, id: 'r3', softwareVersions, takesUp: REFUSED};
    const online = [FIRST, REFUSED, third];
    const evidence = {online, jobs: []} as unknown as Evidence;
    t.is(VERSION_PROMISES[PROMISE]!(evidence).length, count);
  });
}
