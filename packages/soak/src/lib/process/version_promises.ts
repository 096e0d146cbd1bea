/** What holds while servers of two software versions serve, and when one part of
 * prompts crashes servers. */
import {sharedPartsOf} from '@oathead/platform/stand_ins';
import {triesOf} from '../request/online_load.js';
import {allRuns, type Evidence, type PromiseCheck} from './evidence.js';
import {BAD_PART} from './version_handlers.js';

/** Crashes after which requests with the part are held back in time. */
const CRASHES = 5;
/** The bound, and a second for a busy machine, in milliseconds. */
const HELD_BACK_MS = 4000;
const MAX_LATER = 3;

/** The promises by name. */
export const VERSION_PROMISES: Readonly<Record<string, PromiseCheck>> = {
  'a stream and an item hold one software version': versionsAreNotMixed,
  'a part that crashes targets is held back': badPartsAreHeldBack,
};

function versionsAreNotMixed({online, jobs}: Evidence): readonly string[] {
  const streams = online.filter(record => {
    const versions = triesOf(record).flatMap(one => one.softwareVersions);
    return record.softwareVersions.length > 0 && new Set(versions).size > 1;
  });
  const items = jobs
    .flatMap(({results}) => results)
    .filter(({softwareVersions}) => softwareVersions.length > 1);
  return [
    ...streams.map(({id, path, takesUp}) => {
      return `${id} ${path} after ${takesUp?.id}`;
    }),
    ...items.map(({id, softwareVersions}) => `${id}: ${softwareVersions}`),
  ];
}

function badPartsAreHeldBack(evidence: Evidence): readonly string[] {
  return evidence.fleet.badPartTimes.flatMap(({from, to}) => {
    const times = allRuns(evidence)
      .filter(run => run.at >= from && run.at <= to)
      .filter(run => sharedPartsOf(run).includes(BAD_PART))
      .map(({at}) => at)
      .sort((a, b) => a - b);
    const fifthAt = times[CRASHES - 1] ?? Infinity;
    const later = times.filter(at => at > fifthAt + HELD_BACK_MS);
    return later.length > MAX_LATER
      ? [`${later.length} of ${times.length} requests later`]
      : [];
  });
}
