import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {endedByReset} from '@oathead/platform/stand_ins';
import {FaultProxy} from '../../lib/connection/fault_proxy.js';

/** @returns How a connection through a proxy ends if its far side ends so. */
async function endThroughProxy(
  t: ExecutionContext,
  end: (far: Socket) => void,
): Promise<'reset' | 'close'> {
  const server = createServer(far => {
    far.once('data', () => {
      far.write('part');
      end(far);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  const proxy = await FaultProxy.before(`127.0.0.1:${port}`);
  t.teardown(() => proxy[Symbol.asyncDispose]());
  const [host, proxyPort] = proxy.address.split(':');
  const near = connect(Number(proxyPort), host);
  near.write('request');
  near.resume();
  return new Promise(resolve => {
    near.on('error', () => resolve('reset'));
    near.on('end', () => resolve(endedByReset(near) ? 'reset' : 'close'));
  });
}

// Guards against a program that is blamed for a cut answer because the proxy
// has turned the reset of its server into an orderly end: the bytes before the
// reset and the reset are read at once.
test('a reset right after bytes stays a reset', async t => {
  t.is(await endThroughProxy(t, far => far.resetAndDestroy()), 'reset');
});

test('an orderly end right after bytes stays one', async t => {
  t.is(await endThroughProxy(t, far => far.end()), 'close');
});
