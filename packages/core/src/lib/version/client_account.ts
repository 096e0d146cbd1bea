/** Client accounts as declared by the operator. */

/** Request rate that a client account is allowed over all hosts together. */
export interface RequestQuota {
  /** Sustained rate, in requests per second. */
  readonly perSecond: number;
  /** Maximum number of unused requests that can accumulate. */
  readonly burst: number;
}

/** One client account in one version of the configuration. */
export interface ClientAccount {
  readonly name: string;
  /** 0 is the most urgent; undefined if the priority of the route applies. */
  readonly priority: number | undefined;
  /** Undefined if the account is not limited. */
  readonly quota: RequestQuota | undefined;
}
