/** The client accounts of one version of the configuration, by their keys. */
import {
  failure,
  hashOfKey,
  KeyIndex,
  success,
  type ClientAccount,
  type Outcome,
} from '@oathead/core';

/** An account with its keys in clear text, as the operator declares it. */
export interface DeclaredAccount extends ClientAccount {
  readonly keys: readonly string[];
}

/** Why accounts can't be taken. Keys are secrets: none is named. */
export type AccountError =
  | {readonly kind: 'shared-key'; readonly accounts: readonly [string, string]}
  | {readonly kind: 'same-name'; readonly account: string};

/** Accounts by name and by key; keys are kept as hashes only. */
export class AccountTable {
  private readonly byName = new Map<string, ClientAccount>();
  private readonly byKey = new KeyIndex<ClientAccount>();

  private constructor() {}

  /**
   * @param declared - All accounts.
   * @returns Them, or what is wrong with them.
   */
  static of(
    declared: readonly DeclaredAccount[],
  ): Outcome<AccountTable, AccountError> {
    const table = new AccountTable();
    for (const {keys, ...account} of declared) {
      const {name} = account;
      if (table.byName.has(name))
        return failure({kind: 'same-name', account: name});
      table.byName.set(name, account);
      for (const key of keys) {
        const shared = table.byKey.add(hashOfKey(key), account);
        if (!shared) continue;
        const [one, other] = shared.owners;
        const accounts = [one.name, other.name] as const;
        return failure({kind: 'shared-key', accounts});
      }
    }
    return success(table);
  }

  /** How many accounts there are. */
  get size(): number {
    return this.byName.size;
  }

  /** @returns The account of this name. */
  named(name: string): ClientAccount | undefined {
    return this.byName.get(name);
  }

  /** @returns The account that holds a key. */
  ofKey(key: string): ClientAccount | undefined {
    return this.byKey.ownerOf(key);
  }
}

/** @returns What is wrong, for the log. */
export function accountErrorText(err: AccountError): string {
  if (err.kind === 'same-name') return `two accounts are named ${err.account}`;
  return `accounts ${err.accounts.join(' and ')} have a key in common`;
}
