/**
 * How the searches for a target that one request makes count toward the share
 * of its client account.
 */
import type {WaitDemand} from '@oathead/core';
import type {PlacementOutcome} from '../process/placement_outcome.js';

/** The searches of one request so far. */
export class ClaimedDemand {
  private state: 'new' | 'searched' | 'placed' = 'new';

  /** @param initial - Demand of the request. */
  constructor(private readonly initial: WaitDemand) {}

  /**
   * Returns the demand for the next search. A request that has been placed
   * before keeps its claim: its account is charged once, and a run that broke
   * off is not refused because others have asked since.
   *
   * @returns The demand.
   */
  nextDemand(): WaitDemand {
    const {initial, state} = this;
    if (initial.account === undefined) return initial;
    if (state === 'placed') return {...initial, account: undefined};
    this.state = 'searched';
    return {...initial, isRepeated: state === 'searched'};
  }

  /**
   * @param outcome - Outcome of the latest search.
   * @returns Whether the request ends without another search. Beyond the share
   *     of its account it is refused at once, unless that is its last chance.
   */
  endsAfter(outcome: PlacementOutcome): boolean {
    if (outcome.kind === 'placed') {
      this.state = 'placed';
      return true;
    }
    return outcome.cause === 'share' && !this.initial.returning;
  }
}
