/** Entry of `npm run bench:limits`. */
import {limitError} from './lib/process/limit_error.js';
import type {Spread} from './lib/process/limit_error.js';

const SPREADS: readonly Spread[] = ['even', 'skewed', 'moving'];

for (const entries of [2, 8, 340]) {
  for (const spread of SPREADS) {
    for (const told of [false, true]) {
      const {over, under} = limitError(entries, spread, told, 1);
      const hears = told ? 'told 2 s late' : 'not told';
      process.stdout.write(
        `${entries} entries, ${spread}, ${hears}: ` +
          `over the limit ${over.toFixed(3)} of it let through, ` +
          `below it ${under.toFixed(3)} of what came\n`,
      );
    }
  }
}
