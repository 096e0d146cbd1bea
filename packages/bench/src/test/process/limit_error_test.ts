import test from 'ava';
import {limitError} from '../../lib/process/limit_error.js';

const SEED = 3;

for (const entries of [2, 8, 340]) {
  test(`${entries} entries that are told late keep a limit within 5%`, t => {
    const {over, under} = limitError(entries, 'skewed', true, SEED);
    t.true(Math.abs(over - 1) < 0.05, `${over}`);
    t.true(under > 0.93, `${under}`);
  });
}
