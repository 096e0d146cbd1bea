/**
 * The verdicts on parts of prompts that a host knows, and whether they are in
 * force by what it knows otherwise.
 */
import {
  CRASH_EVIDENCE_LIFETIME_MS,
  isUnderOneRequest,
  type EventLog,
} from '@oathead/core';
import {LRUCache} from 'lru-cache';
import type {CrashRecords} from './crash_records.js';
import type {Verdict} from './prompt_suspect_rows.js';
import type {TargetDirectory} from './target_directory.js';

/** A verdict, and what this host knows of it. */
export interface KnownVerdict extends Verdict {
  /** Version of its row; undefined until the row is read. */
  readonly version: number | undefined;
  /** IDs of all targets that are known to have crashed under its part. */
  readonly crashed: ReadonlySet<string>;
}

/** How a verdict ends. */
export type VerdictEnd =
  /** A run with the part got through at this host. */
  | 'got-through'
  /** Another host has removed it. */
  | 'removed'
  | 'expired'
  /** Targets go on crashing though the part is held. */
  | 'crashes-go-on'
  /** Its targets are listed still, so they have not crashed. */
  | 'listed'
  /** It could not be written, so that nobody could try the part again. */
  | 'unwritten';

/** Number of crashed targets that a verdict needs. */
const MIN_TARGETS = 3;
/** Time until hosts have read that an entry has expired, in milliseconds. */
const LIST_READ_MARGIN_MS = 2700;
const MAX_VERDICTS = 1024;
const MAX_CRASHED_TARGETS = 1024;

/** Dependencies of {@link PartVerdicts}. */
export interface PartVerdictsContext {
  /** The crashes under requests. */
  readonly records: Pick<CrashRecords, 'withPart'>;
  readonly log: EventLog;
  readonly directory: Pick<TargetDirectory, 'isListedFor'>;
  /**
   * Returns the time after which the entry of a crashed target expires, in
   * milliseconds.
   */
  readonly expiryMs: () => number;
  /** Returns the time by which verdicts are dated, in milliseconds. */
  readonly now: () => number;
}

/** Verdicts by the key of their part. */
export class PartVerdicts {
  private readonly verdicts = new LRUCache<string, KnownVerdict>({
    max: MAX_VERDICTS,
  });

  /** @param context - What else the host knows of crashes. */
  constructor(private readonly context: PartVerdictsContext) {}

  /** @returns The verdict on a part, also if it is not in force. */
  get(part: string): KnownVerdict | undefined {
    return this.verdicts.get(part);
  }

  /**
   * @param part - Key of a part.
   * @param verdict - The verdict on it, in place of one before.
   * @param version - Version of its row; undefined until the row is read.
   * @param crashes - Targets that are known to have crashed under the part.
   * @returns The verdict.
   */
  set(
    part: string,
    verdict: Verdict,
    version: number | undefined,
    crashes: readonly string[],
  ): KnownVerdict {
    const before = this.verdicts.peek(part)?.crashed ?? [];
    const crashed = new Set([...before, ...crashes, ...verdict.targets]);
    const known = {...verdict, version, crashed};
    this.verdicts.set(part, known);
    return known;
  }

  /** Adds a crash to the verdict on a part, if there is one. */
  addCrash(part: string, target: string): void {
    const known = this.verdicts.peek(part);
    if (!known || known.crashed.has(target)) return;
    const crashed = new Set([...known.crashed, target]);
    const [oldest] = crashed;
    if (crashed.size > MAX_CRASHED_TARGETS) crashed.delete(oldest!);
    this.verdicts.set(part, {...known, crashed});
  }

  /**
   * @param part - Key of a part, whose verdict ends if there is one.
   * @param reason - Why.
   */
  end(part: string, reason: VerdictEnd): void {
    const known = this.verdicts.peek(part);
    if (!known) return;
    this.verdicts.delete(part);
    const {service, targets} = known;
    this.context.log.event('prompt-part-cleared', {
      service,
      part,
      targets,
      reason,
    });
  }

  /**
   * Looks at the verdicts in force, so that a crash counts against requests
   * again as soon as the verdict that accounts for it ends, however it does.
   *
   * @param target - ID of a target.
   * @returns The key of the guilty part that crashed it; undefined if none is
   *     known.
   */
  explanationOf(target: string): string | undefined {
    for (const [part, verdict] of this.verdicts.entries())
      if (verdict.crashed.has(target) && this.isInForce(part, verdict))
        return part;
    return undefined;
  }

  /**
   * Whether a verdict holds by what this host knows. Guards against sound
   * requests that are refused for crashes of which one request is the cause,
   * also if another host passed the verdict before it knew.
   */
  isInForce(part: string, verdict: Verdict): boolean {
    if (this.endOf(verdict)) return false;
    return !this.areUnderOneRequest(part, this.crashedOf(verdict));
  }

  /**
   * @returns Why a verdict is over, for its age or because its targets have not
   *     crashed; undefined if it is not.
   */
  endOf(verdict: Verdict): VerdictEnd | undefined {
    if (isExpired(verdict, this.context.now())) return 'expired';
    const {length} = this.crashedOf(verdict);
    return length < MIN_TARGETS ? 'listed' : undefined;
  }

  /**
   * @param part - Key of a part.
   * @param crashes - Targets that have crashed under it.
   * @returns Whether one request accounts for them.
   */
  areUnderOneRequest(part: string, crashes: readonly string[]): boolean {
    const requests = this.context.records.withPart(part);
    return isUnderOneRequest(
      crashes,
      requests.map(({targets}) => targets),
    );
  }

  /**
   * @param target - A target that seems to have crashed.
   * @param atMs - When it did, by {@link PartVerdictsContext.now}.
   * @returns Whether it has lost a connection only: it is listed when the entry
   *     of a crashed one would have expired.
   */
  isStillListed(target: string, atMs: number): boolean {
    const {directory, now} = this.context;
    const isKnown = now() - atMs >= this.knownAfterMs;
    return isKnown && directory.isListedFor(target, this.knownAfterMs);
  }

  /**
   * Time until hosts know whether the entry of a target has expired, in
   * milliseconds.
   */
  get knownAfterMs(): number {
    return this.context.expiryMs() + LIST_READ_MARGIN_MS;
  }

  /** The targets of a verdict that are not known to live. */
  private crashedOf({targets, at}: Verdict): readonly string[] {
    return targets.filter(target => !this.isStillListed(target, at));
  }
}

/**
 * A verdict lasts as long as evidence does, counted from the last request that
 * tried its part again without getting through.
 *
 * @param verdict - A verdict.
 * @param nowMs - The current time, by which verdicts are dated.
 * @returns Whether it is over for its age.
 */
export function isExpired({at, triedAt}: Verdict, nowMs: number): boolean {
  return nowMs - (triedAt ?? at) >= CRASH_EVIDENCE_LIFETIME_MS;
}
