import test from 'ava';
import {processUse} from '../../lib/load/binary.js';

test('processor time is read behind a name with brackets and spaces', t => {
  const stat = '7 (node (a) b) S 1 2 3 0 -1 4 5 0 0 0 120 30 0 0 20 0 11 0';
  const status = 'Name:\tnode\nVmHWM:\t  10240 kB\nVmRSS:\t  1 kB\n';
  t.deepEqual(processUse(stat, status), {cpuMs: 1_500, peakMb: 10});
});
