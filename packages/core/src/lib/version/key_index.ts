/** Finds what belongs to a key of which only a hash is kept. */
import {hash as hashAtOnce, timingSafeEqual} from 'node:crypto';

interface KnownKey<T> {
  readonly hash: Buffer;
  readonly owner: T;
}

/** Two owners with one key. */
export interface SharedKey<T> {
  readonly kind: 'shared-key';
  readonly owners: readonly [T, T];
}

/** Owners by the SHA-256 hash of their keys. */
export class KeyIndex<T> {
  private readonly byHash = new Map<string, KnownKey<T>>();

  /**
   * @param hash - SHA-256 of a key, as hexadecimal digits.
   * @param owner - Whose key it is.
   * @returns Undefined, or who has the key already; it stays theirs.
   */
  add(hash: string, owner: T): SharedKey<T> | undefined {
    const digits = hash.toLowerCase();
    const known = this.byHash.get(digits);
    if (known && known.owner !== owner)
      return {kind: 'shared-key', owners: [known.owner, owner]};
    this.byHash.set(digits, {hash: Buffer.from(digits, 'hex'), owner});
    return undefined;
  }

  /**
   * @param key - As a caller sent it.
   * @returns Whose it is; undefined: nobody's.
   */
  ownerOf(key: string): T | undefined {
    const digits = hashOfKey(key);
    // Looking up a hash leaks no more than how many bits of the hash agree,
    // and those cannot be chosen; the whole is compared in constant time.
    const known = this.byHash.get(digits);
    if (!known) return undefined;
    const hash = Buffer.from(digits, 'hex');
    return timingSafeEqual(known.hash, hash) ? known.owner : undefined;
  }
}

/**
 * @param key - A key in clear text.
 * @returns Its SHA-256 as hexadecimal digits.
 */
export function hashOfKey(key: string): string {
  return hashAtOnce('sha256', key, 'hex');
}
