import test from 'ava';
import {NO_ROOM} from '../../lib/process/placement_outcome.js';
import {ClaimedDemand} from '../../lib/request/claimed_demand.js';
import {newTarget} from '../fakes/targets.js';

const DEMAND = {goalMs: 300, priority: 0, returning: false, account: 'a'};
const OVER_SHARE = {...NO_ROOM, cause: 'share'} as const;

// A request of an account over its share is held although it will not be
// served, or one that can't come back is refused without a try.
test('a request over the share is refused at once, unless it has come back', t => {
  t.true(new ClaimedDemand(DEMAND).endsAfter(OVER_SHARE));
  t.false(new ClaimedDemand(DEMAND).endsAfter(NO_ROOM));
  const returning = {...DEMAND, returning: true};
  t.false(new ClaimedDemand(returning).endsAfter(OVER_SHARE));
});

// A request counts as demand each time it polls, or a run that broke off is
// refused for the share that it was charged to.
test('a request is demand once, and keeps its claim once it was placed', t => {
  const search = new ClaimedDemand(DEMAND);
  t.is(search.nextDemand().isRepeated, false);
  t.is(search.nextDemand().isRepeated, true);
  search.endsAfter({kind: 'placed', target: newTarget('t')});
  t.is(search.nextDemand().account, undefined);
});

// Requests of deployments without accounts get longer.
test('without an account the demand stays as it is', t => {
  const demand = {...DEMAND, account: undefined};
  const search = new ClaimedDemand(demand);
  t.is(search.nextDemand(), demand);
  t.is(search.nextDemand(), demand);
});
