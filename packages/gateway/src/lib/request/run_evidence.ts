/** What one run of an online request shows of crashes. */
import type {Target} from '../connection/target.js';
import type {CrashSuspects} from '../process/crash_suspects.js';
import type {PromptParts} from '../process/prompt_parts.js';
import type {PromptSuspects} from '../process/prompt_suspects.js';
import {
  isWholeSuccess,
  mayHaveCrashed,
  type ExchangeOutcome,
} from './exchange_outcome.js';
import {RunProgress} from './run_progress.js';
import type {EventSink} from './target_request.js';

/** Who judges crashes: by request, and by parts of prompts. */
export interface CrashJudges {
  readonly crashSuspects: Pick<
    CrashSuspects,
    'now' | 'recordCompletedRun' | 'recordBrokenRun'
  >;
  readonly promptSuspects: Pick<
    PromptSuspects,
    'recordCompletedRun' | 'recordBrokenRun'
  >;
}

/** A request by what its crashes are known by. */
export interface JudgedRequest {
  /** Fingerprint of its path and body. */
  readonly fingerprint: string;
  readonly prompt: PromptParts;
}

/** A run that has just begun. */
export class RunEvidence {
  private readonly progress: RunProgress;

  /**
   * @param judges - Told of what the run shows.
   * @param request - The request.
   */
  constructor(
    private readonly judges: CrashJudges,
    private readonly request: JudgedRequest,
  ) {
    this.progress = new RunProgress(
      () => judges.crashSuspects.now(),
      () => judges.promptSuspects.recordCompletedRun(request.prompt),
    );
  }

  /**
   * @param sink - Receives the events of the run.
   * @returns A sink that passes them on and notes when they come.
   */
  watched(sink: EventSink): EventSink {
    return this.progress.watched(sink);
  }

  /**
   * @param outcome - Outcome of the run.
   * @param target - Where it was.
   */
  recordOutcome(outcome: ExchangeOutcome, target: Pick<Target, 'id'>): void {
    const {crashSuspects, promptSuspects} = this.judges;
    const {fingerprint, prompt} = this.request;
    const {hasLasted} = this.progress;
    const isSuccess = isWholeSuccess(outcome);
    const hasCrashed = mayHaveCrashed(outcome);
    if (isSuccess && !hasLasted) promptSuspects.recordCompletedRun(prompt);
    if (isSuccess || (hasLasted && !hasCrashed))
      crashSuspects.recordCompletedRun(fingerprint, this.answeredSinceMs);
    if (!hasCrashed || hasLasted) return;
    promptSuspects.recordBrokenRun(prompt, target.id);
    crashSuspects.recordBrokenRun(fingerprint, target.id, prompt);
  }

  /** When its target began to answer, or had the whole answer. */
  private get answeredSinceMs(): number {
    const {crashSuspects} = this.judges;
    return this.progress.firstEventAtMs ?? crashSuspects.now();
  }
}
