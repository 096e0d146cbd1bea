import {createHash} from 'node:crypto';
import test from 'ava';
import fc from 'fast-check';
import {ConfigSnapshot} from '@oathead/core';
import type {ConfigView} from '@oathead/core';
import {KeyAuthenticator} from '../../lib/process/key_authenticator.js';

const sha256 = (key: string) => createHash('sha256').update(key).digest('hex');

function view(keys: readonly string[]) {
  let notify: (snapshot: ConfigSnapshot) => void = () => {};
  const snapshot = (of: readonly string[]) =>
    new ConfigSnapshot(1, [
      {
        kind: 'callers',
        name: 'bank-a',
        resourceVersion: 1,
        spec: {role: 'caller', keyHashes: of.map(sha256), weight: 1},
      },
    ]);
  const cfg: ConfigView = {
    current: () => snapshot(keys),
    onChange: callback => {
      notify = callback;
      return {[Symbol.dispose]: () => {}};
    },
  };
  return {cfg, change: (of: readonly string[]) => notify(snapshot(of))};
}

test('follows a rotation of keys, both valid while they overlap', t => {
  const {cfg, change} = view(['old']);
  const authenticator = new KeyAuthenticator(cfg, []);
  t.is(authenticator.identify('Bearer old')?.name, 'bank-a');
  change(['old', 'new']);
  t.is(authenticator.identify('Bearer old')?.name, 'bank-a');
  t.is(authenticator.identify('Bearer new')?.name, 'bank-a');
  change(['new']);
  t.is(authenticator.identify('Bearer old'), undefined);
});

test('keys of the settings are an operator’s', t => {
  const authenticator = new KeyAuthenticator(view([]).cfg, [sha256('root')]);
  t.is(authenticator.identify('Bearer root')?.role, 'operator');
});

test('knows nobody by any other header', t => {
  const authenticator = new KeyAuthenticator(view(['k']).cfg, []);
  fc.assert(
    fc.property(fc.string(), header => {
      const known = authenticator.identify(header) !== undefined;
      return known === /^bearer +k$/i.test(header);
    }),
  );
  t.is(authenticator.identify(undefined), undefined);
});
