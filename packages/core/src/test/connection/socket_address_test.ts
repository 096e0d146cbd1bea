import test from 'ava';
import fc from 'fast-check';
import {isSocketAddress} from '../../lib/connection/socket_address.js';

const VALID = [
  '127.0.0.1:1',
  '127.0.0.1:65535',
  '127.0.0.1:00080',
  '[::]:80',
  '[::ffff:127.0.0.1]:80',
  '[1:2:3:4:5:6:7:8]:80',
];
const INVALID = [
  '',
  '127.0.0.1',
  '127.0.0.1:',
  '127.0.0.1:0',
  '127.0.0.1:-1',
  '127.0.0.1:65536',
  '127.0.0.1:99999',
  `127.0.0.1:${'9'.repeat(400)}`,
  '127.0.0.01:80',
  '127.0.0.1:80\n',
  '127.0.0.1\u0000:80',
  'localhost:80',
  '::1:80',
  '[127.0.0.1]:80',
  '[fe80::1%eth0]:80',
  '[fe80::1%25eth0]:80',
];

test('an IP address with a port is a socket address', t => {
  for (const text of VALID) t.true(isSocketAddress(text), text);
  for (const text of INVALID) t.false(isSocketAddress(text), text);
});

// Guards against an address that is accepted and makes each connection to it
// throw: it becomes the authority of a URL.
test('every socket address can stand in a URL', t => {
  const zones = fc.constantFrom('', '%', '%1', '%eth0', '%25eth0');
  const hosts = fc.oneof(
    fc.ipV4Extended(),
    fc.tuple(fc.ipV6(), zones).map(([ip, zone]) => `[${ip}${zone}]`),
    fc.string(),
  );
  const ports = fc.oneof(fc.integer().map(String), fc.string());
  const property = fc.property(hosts, ports, (host, port) => {
    const text = `${host}:${port}`;
    if (isSocketAddress(text)) t.true(URL.canParse(`http://${text}`), text);
  });
  fc.assert(property, {numRuns: 5000});
});
