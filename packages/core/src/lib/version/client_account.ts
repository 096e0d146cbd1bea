/** What an operator says of a client account. */

/** How many requests a client account may have run, over all hosts together. */
export interface RequestQuota {
  /** Requests a second in the long run. */
  readonly perSecond: number;
  /** How many more it may have saved up. */
  readonly burst: number;
}

/** One client account in one version of the configuration. */
export interface ClientAccount {
  readonly name: string;
  /** 0 is the most urgent; undefined: that of the route counts. */
  readonly priority: number | undefined;
  /** Undefined: no limit. */
  readonly quota: RequestQuota | undefined;
}
