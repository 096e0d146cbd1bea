/** One row of the matrix as a test. */
import test from 'ava';
import {FAULTS} from '../lib/process/faults.js';
import {runRow} from '../lib/process/matrix.js';
import {problems} from '../lib/process/matrix_table.js';

/** Tests that every promise holds at every step of a fault. */
export function testRow(name: string): void {
  test(name, async t => {
    const fault = FAULTS.find(f => f.name === name);
    if (!fault) return t.fail(`no row is named ${name}`);
    const cells = await runRow(fault);
    t.deepEqual(problems(cells), []);
    t.true(cells.some(({verdict}) => verdict === 'passed'));
  });
}
