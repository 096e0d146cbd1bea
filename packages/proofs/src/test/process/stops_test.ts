import {testRow} from '../matrix_row.js';

// An entry is replaced while a caller waits, or as its request comes in. The
// caller gets the whole answer.
testRow('planned stop of entry');

// The entry that keeps the key, or the chunk, is told to stop. What it had
// claimed and not sent is run by the next holder.
testRow('planned stop of home entry');

// A target is told to stop as a request is on its way to it. Nobody can know
// better than the target that it has not run the request, so it stays to say.
testRow('planned stop of target');

// The target is told to stop while the connection that carries the answer has
// gone silent. The link that asks again still finds it there.
testRow('connections silent + planned stop of target');

// The same, for the entry.
testRow('connections silent + planned stop of entry');
