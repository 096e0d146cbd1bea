/**
 * Answers that target processes remember: asked for when the home of a key was
 * lost, or is out of reach, before it wrote them.
 */
import {LinkLostError, poolOf, workFingerprint} from '@oathead/core';
import type {Clock, ConfigView, Counters} from '@oathead/core';
import type {HeldAnswer, ReportingLink} from '@oathead/wire';
import type {KeyedAnswer} from './keyed_answer.js';
import type {KeyedCall} from './keyed_requests.js';

/** What recalling needs. */
export interface RecallDeps {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly cfg: ConfigView;
  readonly fleet: {
    targetsOfKey(pool: string, dedupeKey: string): readonly ReportingLink[];
    links(): readonly ReportingLink[];
  };
}

/** A target that does not answer is not waited for longer, in milliseconds. */
const HELD_TIMEOUT_MS = 5000;

/** Asks target processes what they remember. */
export class Recall {
  /** @param deps - The targets. */
  constructor(private readonly deps: RecallDeps) {}

  /**
   * @param call - A request whose key may have been answered.
   * @returns What a target remembers of the key. A run of it that is still
   *     going on is waited for, until the deadline of the request.
   */
  ofCall(call: KeyedCall): Promise<KeyedAnswer | undefined> {
    const {clock, fleet} = this.deps;
    const {dedupeKey, deadline, work} = call;
    const links = fleet.targetsOfKey(poolOf(work), dedupeKey);
    return this.first(dedupeKey, links, deadline - clock.now());
  }

  /**
   * @param dedupeKey - A key, of whatever model or service.
   * @returns What a target remembers of it.
   */
  ofKey(dedupeKey: string): Promise<KeyedAnswer | undefined> {
    const {fleet, cfg} = this.deps;
    const pools = cfg.current().all('models');
    const links = pools.flatMap(({name}) =>
      fleet.targetsOfKey(name, dedupeKey),
    );
    return this.first(dedupeKey, [...new Set(links)], HELD_TIMEOUT_MS);
  }

  /**
   * @param key - A key whose work is not known, so that any target may have it.
   * @returns What a target remembers of the key.
   */
  async ofName(key: string): Promise<KeyedAnswer | undefined> {
    const {clock, fleet} = this.deps;
    const links = fleet.links();
    const answers = await withTimeout(clock, HELD_TIMEOUT_MS, signal =>
      Promise.all(links.map(link => recallAt(link, key, signal))),
    );
    const found = answers.find(answer => answer !== undefined);
    return found && {key, ...found};
  }

  /**
   * @param entryId - An entry that was lost.
   * @returns The answers that this entry's targets hold for it.
   */
  async heldFor(entryId: string): Promise<readonly KeyedAnswer[]> {
    const {clock, fleet} = this.deps;
    const held = await withTimeout(clock, HELD_TIMEOUT_MS, signal =>
      Promise.all(fleet.links().map(link => heldAt(link, entryId, signal))),
    );
    return held.flat().map(({dedupeKey, work, answer}) => ({
      key: dedupeKey,
      work: workFingerprint(work),
      outcome: {kind: 'done', answer},
    }));
  }

  private async first(
    key: string,
    links: readonly ReportingLink[],
    timeoutMs: number,
  ): Promise<KeyedAnswer | undefined> {
    const {clock, counters} = this.deps;
    const answers = await withTimeout(clock, timeoutMs, signal =>
      Promise.all(links.map(link => recallAt(link, key, signal))),
    );
    const found = answers.find(answer => answer !== undefined);
    if (found) counters.count('keyed_answers_recalled');
    return found && {key, ...found};
  }
}

async function recallAt(
  link: ReportingLink,
  key: string,
  signal: AbortSignal,
): Promise<Omit<KeyedAnswer, 'key'> | undefined> {
  try {
    return await link.recall(key, signal);
  } catch (err) {
    if (err instanceof LinkLostError) return undefined;
    throw err;
  }
}

async function heldAt(
  link: ReportingLink,
  entryId: string,
  signal: AbortSignal,
): Promise<readonly HeldAnswer[]> {
  const answers: HeldAnswer[] = [];
  try {
    for await (const answer of link.held(entryId, signal)) answers.push(answer);
  } catch (err) {
    if (!(err instanceof LinkLostError)) throw err;
  }
  return answers;
}

async function withTimeout<T>(
  clock: Clock,
  timeoutMs: number,
  task: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const stop = new AbortController();
  // A run that goes on must not be cancelled by who only asked for its end.
  const reason = new LinkLostError('asked for long enough');
  const timer = clock.after(timeoutMs, () => stop.abort(reason));
  try {
    return await task(stop.signal);
  } finally {
    timer[Symbol.dispose]();
  }
}
