/**
 * Holds a request back that is known to crash targets, and records what its own
 * runs show.
 */
import type {Target} from '../connection/target.js';
import type {CrashSuspects} from '../process/crash_suspects.js';
import type {PromptParts} from '../process/prompt_parts.js';
import type {PromptSuspects} from '../process/prompt_suspects.js';
import {mayHaveCrashed, type ExchangeOutcome} from './exchange.js';

/** Dependencies of {@link CrashCheck}. */
export interface CrashCheckContext {
  readonly crashSuspects: CrashSuspects;
  readonly promptSuspects: Pick<
    PromptSuspects,
    'admit' | 'isBlocked' | 'recordBrokenRun' | 'recordCompletedRun'
  >;
}

/** Why a request must not run. */
export type CrashRefusal =
  /** The request itself crashes targets. */
  | 'suspect'
  /** A part of its prompt crashes the targets that run it. */
  | 'prompt part blocked';

/** The crashes of one request. */
export class CrashCheck {
  private isTrial = false;

  /**
   * @param context - What the hosts know of crashes.
   * @param fingerprint - Fingerprint of the path and body of the request.
   * @param prompt - Parts of its prompt.
   */
  constructor(
    private readonly context: CrashCheckContext,
    private readonly fingerprint: string,
    private readonly prompt: PromptParts,
  ) {}

  /**
   * @returns Why the request must not run; undefined if it may. Never rejects.
   */
  async refusal(): Promise<CrashRefusal | undefined> {
    const {crashSuspects, promptSuspects} = this.context;
    if (crashSuspects.isBlocked(this.fingerprint)) return 'suspect';
    const admission = await promptSuspects.admit(this.prompt);
    this.isTrial = admission === 'trial';
    return admission === 'blocked' ? 'prompt part blocked' : undefined;
  }

  /**
   * To be called right before a run: crashes may have come to be known since
   * the request was admitted.
   *
   * @returns Why the request must not run any more; undefined if it may.
   */
  recheck(): CrashRefusal | undefined {
    const isBlocked =
      !this.isTrial && this.context.promptSuspects.isBlocked(this.prompt);
    return isBlocked ? 'prompt part blocked' : undefined;
  }

  /**
   * @param outcome - Outcome of a run.
   * @param target - Where it was.
   * @param hasStarted - Whether anything was written to the caller.
   */
  recordOutcome(
    outcome: ExchangeOutcome,
    target: Pick<Target, 'id'>,
    hasStarted: boolean,
  ): void {
    const {crashSuspects, promptSuspects} = this.context;
    if (outcome.kind === 'streamed' || outcome.kind === 'answered')
      promptSuspects.recordCompletedRun(this.prompt);
    if (!mayHaveCrashed(outcome)) return;
    promptSuspects.recordBrokenRun(this.prompt, target.id);
    if (!hasStarted)
      crashSuspects.recordBrokenRun(this.fingerprint, target.id, this.prompt);
  }
}
