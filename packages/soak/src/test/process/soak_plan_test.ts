import {createHash} from 'node:crypto';
import test from 'ava';
import {KEPT_SEEDS} from '../../lib/process/kept_seeds.js';
import {planFaults, type PlannedFault} from '../../lib/process/soak_plan.js';

/** Hashes of the faults that each kept seed played when it was kept. */
const KEPT_PLANS: ReadonlyMap<number, string> = new Map([
  [90417, '4dc7d8cacd98a2c6'],
  [210, '2494574c4b5ab77e'],
  [200, '1a7fa4f06682163a'],
  [211, '8253c72118adc090'],
  [5001, '34dbbab2af79c9fd'],
  [5023, 'c0dc50476c99d0e8'],
  [5010, '8936453442255778'],
  [47107, '673445ff5c65b595'],
  [47506, '426da450f90c78e2'],
  [50303, '57c1f0f2c85f7e94'],
  [65011, 'f430e44025feb4f9'],
  [65012, 'd7011fa20fcbadf7'],
  [65013, 'bfb1c60480128975'],
  [65014, 'a70cb08747a2a8c1'],
  [65015, 'aa6912b9ae080037'],
]);
const HASH_LENGTH = 16;

function hashOf(faults: readonly PlannedFault[]): string {
  const hash = createHash('sha256').update(JSON.stringify(faults));
  return hash.digest('hex').slice(0, HASH_LENGTH);
}

// A kept seed that draws other faults no longer shows the fault for which it is
// kept: kinds that are added must not change its draws.
for (const {options} of KEPT_SEEDS) {
  test(`seed ${options.seed} plays the faults for which it is kept`, t => {
    t.is(KEPT_PLANS.get(options.seed), hashOf(planFaults(options)));
  });
}
