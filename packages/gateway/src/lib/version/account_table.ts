/**
 * The client accounts of one configuration version, indexed by name and by key.
 */
import {
  failure,
  hashOfKey,
  KeyIndex,
  success,
  type ClientAccount,
  type Outcome,
} from '@oathead/core';

/** An account with its keys in plain text, as the operator declares it. */
export interface DeclaredAccount extends ClientAccount {
  readonly keys: readonly string[];
}

/**
 * Why the declared accounts are invalid. Keys are secret and never included.
 */
export type AccountError =
  | {readonly kind: 'shared-key'; readonly accounts: readonly [string, string]}
  | {readonly kind: 'same-name'; readonly account: string};

/** Index of accounts by name and by key. Only hashes of the keys are kept. */
export class AccountTable {
  private readonly byName = new Map<string, ClientAccount>();
  private readonly accountsByKey = new KeyIndex<ClientAccount>();

  private constructor() {}

  /**
   * @param declared - All accounts of the configuration.
   * @returns The index, or the first conflict that was found.
   */
  static create(
    declared: readonly DeclaredAccount[],
  ): Outcome<AccountTable, AccountError> {
    const table = new AccountTable();
    for (const {keys, ...account} of declared) {
      const {name} = account;
      if (table.byName.has(name))
        return failure({kind: 'same-name', account: name});
      table.byName.set(name, account);
      for (const key of keys) {
        const shared = table.accountsByKey.add(hashOfKey(key), account);
        if (!shared) continue;
        const [one, other] = shared.owners;
        const accounts = [one.name, other.name] as const;
        return failure({kind: 'shared-key', accounts});
      }
    }
    return success(table);
  }

  /** Number of accounts. */
  get size(): number {
    return this.byName.size;
  }

  /**
   * @param name - Name of an account.
   * @returns The account; undefined if there is none of this name.
   */
  findByName(name: string): ClientAccount | undefined {
    return this.byName.get(name);
  }

  /**
   * @param key - An API key in plain text.
   * @returns The account that the key belongs to; undefined if the key is
   *     unknown.
   */
  findByKey(key: string): ClientAccount | undefined {
    return this.accountsByKey.ownerOf(key);
  }
}

/**
 * @param err - Why the accounts are invalid.
 * @returns A message for the log, without keys.
 */
export function accountErrorText(err: AccountError): string {
  if (err.kind === 'same-name') return `duplicate account name: ${err.account}`;
  return `accounts ${err.accounts.join(' and ')} share a key`;
}
