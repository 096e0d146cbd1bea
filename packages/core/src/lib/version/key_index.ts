/** Finds the owner of an API key of which only the hash is stored. */
import {hash as hashSync, timingSafeEqual} from 'node:crypto';

interface KnownKey<T> {
  readonly hash: Buffer;
  readonly owner: T;
}

/** Two owners that were declared with the same key. */
export interface DuplicateKey<T> {
  readonly kind: 'shared-key';
  readonly owners: readonly [T, T];
}

/** Owners by the SHA-256 hash of their keys. */
export class KeyIndex<T> {
  private readonly byHash = new Map<string, KnownKey<T>>();

  /**
   * Adds a key. A key that already has another owner stays with that owner.
   *
   * @param hash - SHA-256 of a key, in hexadecimal.
   * @param owner - Owner of the key.
   * @returns The conflict if the key has another owner, otherwise undefined.
   */
  add(hash: string, owner: T): DuplicateKey<T> | undefined {
    const digits = hash.toLowerCase();
    const known = this.byHash.get(digits);
    if (known && known.owner !== owner)
      return {kind: 'shared-key', owners: [known.owner, owner]};
    this.byHash.set(digits, {hash: Buffer.from(digits, 'hex'), owner});
    return undefined;
  }

  /**
   * @param key - Key in clear text, as sent by a caller.
   * @returns The owner of the key, or undefined if the key is unknown.
   */
  ownerOf(key: string): T | undefined {
    const digits = hashOfKey(key);
    // The lookup leaks at most how many bits of the hash match, and an attacker
    // cannot choose those. The complete hash is compared in constant time.
    const known = this.byHash.get(digits);
    if (!known) return undefined;
    const hash = Buffer.from(digits, 'hex');
    return timingSafeEqual(known.hash, hash) ? known.owner : undefined;
  }
}

/**
 * @param key - Key in clear text.
 * @returns Its SHA-256 hash in hexadecimal.
 */
export function hashOfKey(key: string): string {
  return hashSync('sha256', key, 'hex');
}
