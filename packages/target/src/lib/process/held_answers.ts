/**
 * Answers to keyed requests, held until their entry says that they are written.
 *
 * Guards against an answer that is lost with its entry: the caller has it, the
 * entry dies before it has written it, and the caller asks for it again. Two
 * hosts hold it until then, the entry's and this one.
 */
import type {Clock, ServeRequest} from '@oathead/core';
import type {HeldAnswer} from '@oathead/wire';
import type {TargetRun} from '../request/target_run.js';

/** Bounds of what is held. */
export interface HeldAnswersSettings {
  /** Bytes of answers that are not written elsewhere yet. */
  readonly heldBytes: number;
  /** How long an answer is held if its entry never asks, in milliseconds. */
  readonly heldMs: number;
}

interface Held {
  readonly run: TargetRun;
  readonly since: number;
  readonly bytes: number;
}

/**
 * @param req - A request.
 * @returns Whether its answer must be held until it is written: a caller may
 *     have it and ask for it again. A batch item's outcome is nobody's before
 *     it is recorded.
 */
export function isHeld(req: ServeRequest): boolean {
  return req.dedupeKey !== undefined && req.class === 'online';
}

/** Answered runs by their names, oldest first. */
export class HeldAnswers {
  private readonly held = new Map<string, Held>();
  private bytes = 0;

  /**
   * @param settings - Bounds.
   * @param clock - Ages are measured on it.
   * @param onReleased - Told of each run that is held no longer.
   */
  constructor(
    private readonly settings: HeldAnswersSettings,
    private readonly clock: Clock,
    private readonly onReleased: (name: string, run: TargetRun) => void,
  ) {}

  /** Whether no more can be held; then no more is to be answered. */
  get full(): boolean {
    return this.bytes >= this.settings.heldBytes;
  }

  /**
   * @param name - The name of an outcome.
   * @returns Its run, if it is held.
   */
  get(name: string): TargetRun | undefined {
    return this.held.get(name)?.run;
  }

  /**
   * @param name - The name of an outcome.
   * @param run - Its run, answered.
   * @param bytes - Its size.
   */
  hold(name: string, run: TargetRun, bytes: number): void {
    const now = this.clock.now();
    this.held.set(name, {run, bytes, since: now});
    this.bytes += bytes;
    for (const [oldest, {since}] of this.held) {
      if (now - since < this.settings.heldMs) break;
      this.release(oldest);
    }
  }

  /** @param name - The name of an outcome that is written elsewhere. */
  release(name: string): void {
    const held = this.held.get(name);
    if (!held) return;
    this.held.delete(name);
    this.bytes -= held.bytes;
    this.onReleased(name, held.run);
  }

  /**
   * @param entryId - An entry, perhaps one that has died.
   * @returns The answers to its keyed requests that it has not released.
   */
  *of(entryId: string): Generator<HeldAnswer, void, undefined> {
    for (const {run} of [...this.held.values()]) {
      const {req, outcome} = run;
      if (req.entryId !== entryId || outcome?.kind !== 'done') continue;
      const {id, caller, work} = req;
      const {answer} = outcome;
      yield {dedupeKey: req.dedupeKey!, id, caller, work, answer};
    }
  }
}
