import {testRow} from '../matrix_row.js';

// The stores refuse everything for a while. What runs goes on, what is new and
// needs them is refused, and nothing is lost when they return.
testRow('store down');

// The stores answer late. Callers of plain requests notice nothing.
testRow('store slow');

// A write takes effect and its answer is lost: the writer finds its own nonce
// and goes on as if it had heard.
testRow('write lands, answer lost');

// An entry stands still past its lease while another takes its work over, and
// then goes on as if it still held it. What it writes is refused.
testRow('holder paused past its lease');

// The stores go down and the entry that keeps the work dies with them. Whoever
// asks is not told that nothing ran when it may have.
testRow('store down + home entry dies');

// A job is cancelled while its holder stands still. When it wakes it starts
// nothing of the job any more.
testRow('holder paused + cancel');
