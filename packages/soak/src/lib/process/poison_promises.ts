/** What holds while one request crashes each server that runs it. */
import {allRuns, type Evidence, type PromiseCheck} from './evidence.js';
import type {PoisonBout} from './poison_handlers.js';

/** Crashes after which the request is held back in time. */
const CRASHES = 3;
/** The bound, and a second for a busy machine, in milliseconds. */
const HELD_BACK_MS = 4000;
const MAX_LATER = 3;
/** When sound requests are served again, in milliseconds, and their share. */
const RECOVERED_MS = 6000;
const SOUND_SHARE = 0.5;
const STATUS_OK = 200;

/** The promises by name. */
export const POISON_PROMISES: Readonly<Record<string, PromiseCheck>> = {
  'a request that crashes targets is held back': poisonIsHeldBack,
  'sound requests beside one that crashes targets are served': soundAreServed,
};

/** @returns When copies of the request began to run, the earliest first. */
function runTimes(evidence: Evidence, bout: PoisonBout): readonly number[] {
  return allRuns(evidence)
    .filter(({path}) => path === bout.path)
    .map(({at}) => at)
    .sort((a, b) => a - b);
}

function poisonIsHeldBack(evidence: Evidence): readonly string[] {
  return evidence.fleet.poisonBouts.flatMap(bout => {
    const times = runTimes(evidence, bout);
    const thirdAt = times[CRASHES - 1] ?? Infinity;
    const later = times.filter(at => at > thirdAt + HELD_BACK_MS);
    return later.length > MAX_LATER
      ? [`${bout.path}: ${later.length} of ${times.length} runs later`]
      : [];
  });
}

function soundAreServed(evidence: Evidence): readonly string[] {
  return evidence.fleet.poisonBouts.flatMap(bout => {
    const thirdAt = runTimes(evidence, bout)[CRASHES - 1] ?? Infinity;
    const after = bout.sound.filter(
      ({sentAt}) => sentAt > thirdAt + RECOVERED_MS,
    );
    const served = after.filter(({status}) => status === STATUS_OK);
    return served.length < after.length * SOUND_SHARE
      ? [`${bout.path}: ${served.length} of ${after.length}`]
      : [];
  });
}
