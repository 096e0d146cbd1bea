/**
 * Claims of non-idempotent requests: one row a key, written before the request
 * is sent. A resend can reach another entry while the first runs, or after an
 * entry was lost with it; whoever finds the row does not send. The row is
 * unique in the table, so no lease needs to be trusted.
 */
import type {Clock, Random} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import {commitWithNonce} from '@oathead/stores';
import type {CommitOutcome, Row, TableStore} from '@oathead/stores';
import {CLAIM, claimPrefix} from '../request/keyed_answer.js';
import type {Claim} from '../request/keyed_answer.js';

/** What claiming needs. */
export interface ClaimStoreDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TableStore;
  readonly membership: Pick<Membership, 'shareOf'>;
}

/**
 * `claimed`: by this call, the request may be sent. `claimed-before`: it was
 * sent, or is about to be. `unavailable`: not known; it must not be sent.
 */
export type ClaimOutcome = 'claimed' | 'claimed-before' | 'unavailable';

const ATTEMPTS = 3;

/** Claims requests that may run only once. */
export class ClaimStore {
  /**
   * Nonces of claims that may have landed although the store did not say so,
   * by row. Their requests were not sent, so a resend here uses them again.
   */
  private readonly unsent = new Map<string, string>();

  /** @param deps - Clock, randomness and store. */
  constructor(private readonly deps: ClaimStoreDeps) {}

  /**
   * @param dedupeKey - `caller/key`.
   * @param work - Fingerprint of the work.
   * @returns Whether the request may be sent.
   */
  async claim(dedupeKey: string, work: string): Promise<ClaimOutcome> {
    const key = this.rowKey(dedupeKey);
    const first = await this.write(key, work, 'claimed', undefined);
    if (first.kind !== 'conflict') return this.outcomeOf(key, first);
    const read = await this.deps.table.read([key]);
    if (!read.ok) return 'unavailable';
    const row = read.value[0];
    if (!row || stateOf(row) !== 'released') return 'claimed-before';
    return this.outcomeOf(key, await this.write(key, work, 'claimed', row));
  }

  /**
   * Gives up a claim whose request was not sent. Where the store does not say
   * whether that was written, the claim stands: a later run could otherwise be
   * a second one.
   *
   * @param dedupeKey - `caller/key`.
   */
  async release(dedupeKey: string): Promise<void> {
    const key = this.rowKey(dedupeKey);
    const read = await this.deps.table.read([key]);
    const row = read.ok ? read.value[0] : undefined;
    const claim = CLAIM.safeParse(row?.value);
    if (!row || !claim.success) return;
    await this.write(key, claim.data.work, 'released', row);
  }

  private rowKey(dedupeKey: string): string {
    const share = this.deps.membership.shareOf(dedupeKey);
    return claimPrefix(share) + dedupeKey;
  }

  private write(
    key: string,
    work: string,
    state: Claim['state'],
    base: Row | undefined,
  ): Promise<CommitOutcome> {
    const {clock, random, table} = this.deps;
    const nonce = this.unsent.get(key) ?? random.id();
    if (state === 'claimed') this.unsent.set(key, nonce);
    const value = {work, at: clock.wallTime(), state};
    return commitWithNonce(
      table,
      {marker: {key, base, value}},
      {clock, random, nonce, attempts: ATTEMPTS},
    );
  }

  private outcomeOf(key: string, outcome: CommitOutcome): ClaimOutcome {
    const claimed = CLAIM_OUTCOMES[outcome.kind];
    if (claimed !== 'unavailable') this.unsent.delete(key);
    return claimed;
  }
}

const CLAIM_OUTCOMES: Readonly<Record<CommitOutcome['kind'], ClaimOutcome>> = {
  committed: 'claimed',
  conflict: 'claimed-before',
  unavailable: 'unavailable',
  unknown: 'unavailable',
};

function stateOf(row: Row): Claim['state'] | undefined {
  const claim = CLAIM.safeParse(row.value);
  return claim.success ? claim.data.state : undefined;
}
