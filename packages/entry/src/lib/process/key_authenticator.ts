/** Bearer keys, of which only hashes are known. */
import {KeyIndex, type ConfigSnapshot, type ConfigView} from '@oathead/core';
import type {Identity} from '../request/api.js';
import type {Authenticator} from '../request/router.js';

const SCHEME = /^Bearer +([\x21-\x7e]{1,512})$/i;

/** Tells callers by their bearer keys, as declared now. */
export class KeyAuthenticator implements Authenticator {
  private keys: KeyIndex<Identity>;

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
    return this.keys.ownerOf(key);
  }

  private keysOf(snapshot: ConfigSnapshot): KeyIndex<Identity> {
    const keys = new KeyIndex<Identity>();
    // First, so that they stay an operator's whatever is declared.
    const operator: Identity = {name: 'bootstrap', role: 'operator'};
    for (const hash of this.bootstrap) keys.add(hash, operator);
    for (const {name, spec} of snapshot.all('callers')) {
      const identity: Identity = {name, role: spec.role};
      for (const hash of spec.keyHashes) keys.add(hash, identity);
    }
    return keys;
  }
}
