import type {IncomingHttpHeaders} from 'node:http';
import test from 'ava';
import {endToEndHeaders} from '../../lib/request/forwarded_headers.js';

// Guards against a process that ends because a target sent the header
// `Connection` twice, which the HTTP client hands on as a list.
test('headers named by any of several Connection headers are left out', t => {
  const headers = {
    connection: ['keep-alive', 'x-hop'],
    'x-hop': '1',
    'x-end': '2',
  } as unknown as IncomingHttpHeaders;
  t.deepEqual(endToEndHeaders(headers), {'x-end': '2'});
});
