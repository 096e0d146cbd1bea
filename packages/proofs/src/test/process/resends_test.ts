import {testRow} from '../matrix_row.js';

// A caller loses patience and sends the same again while the first runs. Both
// get the one outcome, and nothing runs twice.
testRow('resend, same entry');

// The balancer sends the resend to another entry, which does not know the
// request. It passes it on to the entry that keeps the key.
testRow('resend, other entry');

// Two resends come at the same time at both entries. One claims, the other
// waits for it.
testRow('resend, at once to both');

// The answer was given long ago; the resend gets the same, and nothing runs.
testRow('resend, after the end');

// An officer sends an input that kills each engine which runs it, again and
// again. Two deaths are enough; those beside it are answered all the same.
testRow('crashing input resent');

// Two operators change a model from what both have read. One is told that it
// was too late; every entry has the change of the other within seconds.
testRow('two operators racing');
