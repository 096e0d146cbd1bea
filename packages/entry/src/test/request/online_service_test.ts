import {NO_COUNTERS, mayHaveRun, notRun} from '@oathead/core';
import type {Refusal, ServeEvent} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import test from 'ava';
import type {KeyedRequests} from '../../lib/request/keyed_requests.js';
import {OnlineService} from '../../lib/request/online_service.js';
import {DONE, OneOwner, allOf, endText, serveCall} from '../fakes.js';

const KEYED = serveCall({dedupeKey: 'bank-a/k', idempotent: false});
const NEVER = new AbortController().signal;

/** An entry whose request's home, another one, ends it with `refusal`. */
async function endAtLeavingHome(
  refusal: Refusal,
  here: ServeEvent,
): Promise<string> {
  const service = new OnlineService({
    counters: NO_COUNTERS,
    membership: new OneOwner('e1', 'e2') as unknown as Membership,
    keyed: {
      async *serve() {
        yield here;
      },
    } as unknown as KeyedRequests,
    peers: {
      async *forward() {
        yield {kind: 'refused', refusal};
      },
    },
    async *dispatch() {},
  });
  return endText(await allOf(service.serve(KEYED, NEVER)));
}

// The home of a key stops: until its shares are handed over, each resend of the
// caller is passed on to it again and refused again.
test('a keyed request whose home stops is served in its place', async t => {
  const unrun = notRun('leaving', 'stops');
  t.is(await endAtLeavingHome(unrun, DONE), 'done');
  const noTarget = {kind: 'refused', refusal: notRun('no-target', '')} as const;
  t.is(await endAtLeavingHome(unrun, noTarget), 'no-target not-run');
  const cut = mayHaveRun('leaving', 'stopped');
  t.is(await endAtLeavingHome(cut, noTarget), 'no-target may-have-run');
});
