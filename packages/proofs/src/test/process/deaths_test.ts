import {testRow} from '../matrix_row.js';

// A caller waits; the process beside the engine is killed and comes back with
// no memory. The answer comes from another target, or the caller is told that
// a call which may run only once may have run.
testRow('target process dies');

// A caller reads a stream; the engine breaks off everything. The stream goes on
// from another engine behind the tokens that the caller has.
testRow('engine dies');

// A caller is told that its job is accepted, or has its answer; the entry that
// said so is killed in the same moment. Another entry knows both.
testRow('entry dies');

// The entry that keeps the key is killed while another passes the request on.
// The caller still gets one answer, and reads it again later.
testRow('home entry dies');

// A host vanishes without a word and the host list names it for ever. Callers
// are served by the others, and no item is lost with it.
testRow('host list stale');
