import test from 'ava';
import {cutAfter, fakeServer, refusal} from '../../fakes/fake_server.js';
import {runCli} from '../../fakes/run_cli.js';

function frame(revision: number, name: string): string {
  const resource = {kind: 'models', name, resourceVersion: revision, spec: {}};
  const data = JSON.stringify({type: 'put', resource, revision});
  return `id: ${revision}\nevent: put\ndata: ${data}\n\n`;
}

// The connection to an entry is cut in the middle of an event. The watch goes on
// at another entry and must show each change once.
test('goes on behind the last whole event after a cut', async t => {
  const [one, two, three] = [frame(5, 'a'), frame(6, 'b'), frame(7, 'c')];
  await using server = await fakeServer(
    cutAfter(one + two.slice(0, 30)),
    cutAfter(two),
    refusal(503, {kind: 'leaving'}),
    cutAfter(three),
  );
  const {exitCode, out, err} = await runCli([
    ...['watch', 'models', '--count', '3', '--since', '4'],
    ...['--url', server.url],
  ]);
  t.is(exitCode, 0);
  t.is(out, '5\tput\tmodels/a\n6\tput\tmodels/b\n7\tput\tmodels/c\n');
  t.regex(err, /watching again/);
  t.deepEqual(
    server.received.map(req => req.url),
    [4, 5, 6, 6].map(since => `/v1/resources/models?watch=true&since=${since}`),
  );
});

test('a revision that is too old ends the watch with 5', async t => {
  await using server = await fakeServer(refusal(410, {kind: 'gone'}));
  const {exitCode, err} = await runCli([
    ...['watch', '--since', '1'],
    ...['--url', server.url],
  ]);
  t.is(exitCode, 5);
  t.regex(err, /gone/);
});
