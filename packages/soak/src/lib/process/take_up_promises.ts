/** What holds for streams that callers take up once all hosts were lost. */
import {triesOf, type OnlineRecord} from '../request/online_load.js';
import type {Evidence, PromiseCheck} from './evidence.js';
import type {TakeUpBout} from './take_up_handlers.js';

/** Fewer take-ups in a bout say nothing. */
const MIN_TAKEN_UP = 12;
/** Of the share of new streams that begin. */
const LEAST_SHARE = 0.5;
/** What new streams are asked for all the time. */
const NEW_KIND = 'notes';
const STATUS_OK = 200;

/** The promises by name. */
export const TAKE_UP_PROMISES: Readonly<Record<string, PromiseCheck>> = {
  'streams that are taken up go on': takenUpGoOn,
};

/**
 * Streams of one bout. Of those that were taken up, only the first take-up that
 * reached a program counts, as a new stream has one try, too. Streams count whose
 * software version has two servers all the while. New streams count at programs
 * that are ready, from the first take-up at each, until the last one has ended.
 */
export interface TakeUpFigures {
  readonly takenUp: number;
  /** Those of them that brought an event or came to their end. */
  readonly wentOn: number;
  /** Those that went on at any of their tries. */
  readonly wentOnLater: number;
  readonly fresh: number;
  readonly begun: number;
}

/**
 * @param evidence - What was seen.
 * @returns The figures of each bout.
 */
export function takeUpFigures({
  fleet,
  online,
}: Pick<Evidence, 'fleet' | 'online'>): readonly TakeUpFigures[] {
  return fleet.takeUpBouts.map(bout => {
    const reached = online.filter(record => isOfBout(bout, record));
    const again = reached.filter(({takesUp, kind}) => {
      return takesUp !== undefined && kind === bout.kind;
    });
    const owed = again.filter(record => isOwed(bout, record));
    const first = owed.filter(record => triesOf(record).length === 2);
    const firstAt = new Map<number, number>();
    for (const {pid, sentAt} of again)
      firstAt.set(pid, Math.min(sentAt, firstAt.get(pid) ?? Infinity));
    const lastAt = Math.max(...again.map(({endedAt}) => endedAt));
    const fresh = reached.filter(({takesUp, pid, sentAt}) => {
      const isIn = sentAt >= (firstAt.get(pid) ?? Infinity) && sentAt <= lastAt;
      return takesUp === undefined && isIn;
    });
    return {
      takenUp: first.length,
      wentOn: first.filter(brings).length,
      wentOnLater: new Set(owed.filter(brings).map(({path}) => path)).size,
      fresh: fresh.length,
      begun: fresh.filter(brings).length,
    };
  });
}

function takenUpGoOn(evidence: Evidence): readonly string[] {
  return takeUpFigures(evidence)
    .filter(({takenUp, wentOn, fresh, begun}) => {
      const isLess = wentOn * fresh < LEAST_SHARE * begun * takenUp;
      return takenUp >= MIN_TAKEN_UP && isLess;
    })
    .map(({takenUp, wentOn, wentOnLater, fresh, begun}) => {
      const later = `${wentOnLater} at any try`;
      return `${wentOn} of ${takenUp} went on (${later}), ${begun} of ${fresh} new ones began`;
    });
}

function isOfBout(
  {killedAt, to, kind, key}: TakeUpBout,
  {kind: asked, key: ownKey, failure, sentAt}: OnlineRecord,
): boolean {
  const isIn = sentAt >= killedAt && sentAt <= to;
  const isStream = asked === kind || asked === NEW_KIND;
  const isReached = isStream && ownKey === key;
  return isReached && failure !== 'unconnected' && isIn;
}

function isOwed({serving}: TakeUpBout, record: OnlineRecord): boolean {
  const [version] = triesOf(record)[0]!.softwareVersions;
  return version !== undefined && serving.has(version);
}

/** @returns Whether a try brought an event, or the end of a stream that lacked
 * only this. */
function brings({text, status}: OnlineRecord): boolean {
  return text !== '' || status === STATUS_OK;
}
