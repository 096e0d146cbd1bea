/** Holds a request back that is known to crash targets. */
import type {CrashSuspects} from '../process/crash_suspects.js';
import type {PromptSuspects} from '../process/prompt_suspects.js';
import {
  RunEvidence,
  type CrashJudges,
  type JudgedRequest,
} from './run_evidence.js';

/** Dependencies of {@link CrashCheck}. */
export interface CrashCheckContext {
  readonly crashSuspects: CrashJudges['crashSuspects'] &
    Pick<CrashSuspects, 'admit' | 'isBlocked'>;
  readonly promptSuspects: CrashJudges['promptSuspects'] &
    Pick<PromptSuspects, 'admit' | 'isBlocked'>;
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
  private isSuspectTrial = false;

  /**
   * @param context - What the hosts know of crashes.
   * @param request - The request.
   */
  constructor(
    private readonly context: CrashCheckContext,
    private readonly request: JudgedRequest,
  ) {}

  /**
   * @returns Why the request must not run; undefined if it may. Never rejects.
   */
  async refusal(): Promise<CrashRefusal | undefined> {
    const {crashSuspects, promptSuspects} = this.context;
    const {fingerprint, prompt} = this.request;
    const suspicion = await crashSuspects.admit(fingerprint);
    this.isSuspectTrial = suspicion === 'trial';
    if (suspicion === 'blocked') return 'suspect';
    const admission = await promptSuspects.admit(prompt);
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
    const {crashSuspects, promptSuspects} = this.context;
    const {fingerprint, prompt} = this.request;
    if (!this.isSuspectTrial && crashSuspects.isBlocked(fingerprint))
      return 'suspect';
    const isBlocked = !this.isTrial && promptSuspects.isBlocked(prompt);
    return isBlocked ? 'prompt part blocked' : undefined;
  }

  /** @returns What a run shows that begins now. */
  beginRun(): RunEvidence {
    return new RunEvidence(this.context, this.request);
  }
}
