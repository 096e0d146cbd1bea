import {testRow} from '../matrix_row.js';

// Something between two hosts forgets a connection: no error, no answer. A new
// connection is opened beside it, and the requests go on over that one.
testRow('connections silent');

// Answers come seconds late, some over connections that were given up. No
// caller gets another's answer or a part of one.
testRow('late answers');

// A later request is answered before an earlier one. Each caller gets its own.
testRow('out-of-order answers');
