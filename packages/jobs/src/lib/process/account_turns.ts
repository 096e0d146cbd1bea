/**
 * Orders the waiting items of several client accounts, so that each account
 * gets its turn.
 *
 * Guards against an account that submits hundreds of items at once: ordered by
 * remaining time alone, they go before all longer items of other accounts, also
 * if those are due soon. Only items of this host are compared; the jobs of an
 * account are spread over all hosts.
 */
import {sharingWeights} from '@oathead/core';
import type {OwnedJob} from './owned_job.js';

/** Items that have the same claim to a slot, apart from their account. */
export interface AccountItem {
  /** Undefined if there are no accounts. */
  readonly account: string | undefined;
  /** Whether it can no longer be completed in time. */
  readonly isLate: boolean;
}

/**
 * @param jobs - The jobs of this host.
 * @returns Number of their running items, by account.
 */
export function runningByAccount(
  jobs: Iterable<Pick<OwnedJob, 'head' | 'work'>>,
): ReadonlyMap<string | undefined, number> {
  const running = new Map<string | undefined, number>();
  for (const {head, work} of jobs) {
    const count = work.filter(({stage}) => stage.kind === 'running').length;
    running.set(head.account, (running.get(head.account) ?? 0) + count);
  }
  return running;
}

/**
 * @param items - The waiting items, in the order in which they start if all are
 *     of one account.
 * @param running - Number of running items, by account.
 * @param weightOf - Returns the weight of an account; undefined if it has none.
 * @returns The items in the order in which they start: first those that can be
 *     completed in time, among them those whose account would have the fewest
 *     items running for its weight.
 */
export function inAccountTurns<T extends AccountItem>(
  items: readonly T[],
  running: ReadonlyMap<string | undefined, number>,
  weightOf: (account: string) => number | undefined,
): readonly T[] {
  const accounts = [...new Set(items.map(({account}) => account))];
  if (accounts.length <= 1) return items;
  const valid = sharingWeights(
    accounts.map(name => (name === undefined ? undefined : weightOf(name))),
  );
  const weights = new Map(accounts.map((name, i) => [name, valid[i]!]));
  const taken = new Map(running);
  const turns = items.map((item, order) => {
    const position = (taken.get(item.account) ?? 0) + 1;
    taken.set(item.account, position);
    return {item, order, turn: position / weights.get(item.account)!};
  });
  return turns
    .sort(
      (a, b) =>
        Number(a.item.isLate) - Number(b.item.isLate) ||
        a.turn - b.turn ||
        a.order - b.order,
    )
    .map(({item}) => item);
}
