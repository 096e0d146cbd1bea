/** The client accounts whose callers a run has. */

/** A client account with the load of one of its callers. */
export interface SoakAccount {
  readonly name: string;
  readonly key: string;
  /** Requests a second, and at once beyond that; none: no quota. */
  readonly quota?: {readonly rate_per_s: number; readonly burst: number};
  /** Between two requests of one caller, in milliseconds. */
  readonly pauseMs: number;
}

/** The client account of all callers while no account floods. */
export const ACCOUNT = 'bank';

/** Accounts that send far more than their part, with a quota and without. */
export const FLOODING_ACCOUNTS: readonly SoakAccount[] = [
  {
    name: 'flooding',
    key: 'key-flooding',
    quota: {rate_per_s: 20, burst: 20},
    pauseMs: 10,
  },
  {name: 'crowding', key: 'key-crowding', pauseMs: 10},
];

/** An account that asks for little while others flood. */
export const MODEST_ACCOUNT: SoakAccount = {
  name: 'modest',
  key: 'key-modest',
  pauseMs: 50,
};

/** Accounts of a run in which some flood. */
export const ACCOUNTS: readonly SoakAccount[] = [
  ...FLOODING_ACCOUNTS,
  MODEST_ACCOUNT,
];

/** Tolerance of quotas, in the wire format of the platform's settings. */
export const QUOTA_BOUNDS = {
  quota_window_s: 5,
  quota_overage: 0.1,
  quota_slack: 10,
} as const;

const NAMES: ReadonlyMap<string, string> = new Map(
  ACCOUNTS.map(({key, name}) => [key, name]),
);

/**
 * @param key - Key of a caller; undefined for an item of a batch job.
 * @returns The name of the account under which the request must run.
 */
export function accountOf(key: string | undefined): string {
  return NAMES.get(key ?? '') ?? ACCOUNT;
}
