/**
 * Decides whether crashes that come far apart show a part of prompts. Answers a
 * load in which requests with that part come at a slow pace and each crashes the
 * targets that run it, while the service works otherwise.
 *
 * No time bounds this evidence: a run with the part that gets through ends it. If
 * none does, what counts is how likely a sound part is to stand in all of the
 * crashes, by the share of other runs that break off at the same times.
 */
import type {PartCrash, ServiceHistory} from './service_history.js';

/** Crashes that follow the first of an event more closely belong to it. */
const EVENT_MS = 5000;
/**
 * Number of crashes of one event that count by themselves: those of a request
 * that is sent again at once, to targets that have the same troubles.
 */
const MAX_CRASHES_OF_EVENT = 2;
const MIN_EVENTS = 2;
const MIN_CRASHES = 3;
/** Probability below which the crashes are not put down to chance. */
const MAX_CHANCE = 0.001;

/**
 * @param crashes - All crashes under a part since it got through, by time.
 * @param history - The service.
 * @returns Whether they show the part.
 */
export function areRepeated(
  crashes: readonly PartCrash[],
  history: ServiceHistory,
): boolean {
  if (crashes.length < MIN_CRASHES) return false;
  const events = eventsOf(crashes);
  if (events.length < MIN_EVENTS) return false;
  const own = new Set(crashes.map(({target}) => target));
  const chances = events.map(event => {
    const rate = history.breakRateAround(event[0]!.atMs, own);
    return rate ** Math.min(event.length, MAX_CRASHES_OF_EVENT);
  });
  return chances.reduce((product, chance) => product * chance) <= MAX_CHANCE;
}

function eventsOf(
  crashes: readonly PartCrash[],
): ReadonlyArray<readonly PartCrash[]> {
  const events: PartCrash[][] = [];
  for (const crash of crashes) {
    const event = events.at(-1);
    if (event && crash.atMs - event[0]!.atMs < EVENT_MS) event.push(crash);
    else events.push([crash]);
  }
  return events;
}
