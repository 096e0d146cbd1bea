/** Bearer keys, of which only hashes are known. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {ConfigSnapshot, ConfigView} from '@oathead/core';
import type {Identity} from '../request/api.js';
import type {Authenticator} from '../request/router.js';

const SCHEME = /^Bearer +([\x21-\x7e]{1,512})$/i;

interface KnownKey {
  readonly hash: Buffer;
  readonly identity: Identity;
}

/** Tells callers by their bearer keys, as declared now. */
export class KeyAuthenticator implements Authenticator {
  private keys: ReadonlyMap<string, KnownKey>;

  /**
   * @param cfg - The configuration; rotated keys are followed.
   * @param bootstrap - Keys of operators by settings, so that a first caller
   *     can be declared at all.
   */
  constructor(
    cfg: ConfigView,
    private readonly bootstrap: readonly string[],
  ) {
    this.keys = this.keysOf(cfg.current());
    cfg.onChange(snapshot => (this.keys = this.keysOf(snapshot)));
  }

  /** {@inheritDoc Authenticator.identify} */
  identify(authorization: string | undefined): Identity | undefined {
    const key = SCHEME.exec(authorization ?? '')?.[1];
    if (key === undefined) return undefined;
    const hash = createHash('sha256').update(key).digest();
    // Looking up a hash leaks no more than how many bits of the hash agree,
    // and those cannot be chosen; the whole is compared in constant time.
    const known = this.keys.get(hash.toString('hex'));
    if (!known || !timingSafeEqual(known.hash, hash)) return undefined;
    return known.identity;
  }

  private keysOf(snapshot: ConfigSnapshot): ReadonlyMap<string, KnownKey> {
    const keys = new Map<string, KnownKey>();
    const add = (hex: string, identity: Identity) =>
      keys.set(hex.toLowerCase(), {hash: Buffer.from(hex, 'hex'), identity});
    for (const {name, spec} of snapshot.all('callers')) {
      for (const hex of spec.keyHashes) add(hex, {name, role: spec.role});
    }
    for (const hex of this.bootstrap) {
      add(hex, {name: 'bootstrap', role: 'operator'});
    }
    return keys;
  }
}
