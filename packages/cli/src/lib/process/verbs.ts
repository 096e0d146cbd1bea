/** All verbs, in the order in which `--help` lists them. */
import type {Verb} from './verb.js';
import {APPLY} from './verbs/apply.js';
import {CANCEL} from './verbs/cancel.js';
import {CHECK_CONFIG} from './verbs/check_config.js';
import {DELETE} from './verbs/delete.js';
import {DRAIN} from './verbs/drain.js';
import {EXPLAIN} from './verbs/explain.js';
import {GET} from './verbs/get.js';
import {DEMO, ENTRY, LOAD} from './verbs/registered_verbs.js';
import {RESULTS} from './verbs/results.js';
import {STATUS} from './verbs/status.js';
import {SUBMIT} from './verbs/submit.js';
import {WATCH} from './verbs/watch.js';

/** A verb, whatever its arguments are: its own options declare them. */
export type AnyVerb = Verb<never>;

/** All verbs. */
export const VERBS: readonly AnyVerb[] = [
  STATUS,
  GET,
  WATCH,
  APPLY,
  DELETE,
  DRAIN,
  SUBMIT,
  RESULTS,
  CANCEL,
  ENTRY,
  CHECK_CONFIG,
  EXPLAIN,
  DEMO,
  LOAD,
];
