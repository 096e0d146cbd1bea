/** Creates what judges the crashes of targets: by request, and by parts of prompts. */
import {
  CrashRecords,
  CrashSuspects,
  PromptSuspects,
  type PromptSuspectsContext,
} from '@oathead/gateway';

/** Dependencies of both judges. */
export type CrashJudgesContext = Omit<PromptSuspectsContext, 'records'>;

/** The judges, each of which asks the other one. */
export interface CrashJudges {
  readonly crashSuspects: CrashSuspects;
  readonly promptSuspects: PromptSuspects;
}

/**
 * @param context - The store, and the list of targets.
 * @returns The judges, which share the records of crashes.
 */
export function createCrashJudges(context: CrashJudgesContext): CrashJudges {
  const records = new CrashRecords(context);
  const promptSuspects = new PromptSuspects({...context, records});
  const crashSuspects = new CrashSuspects({
    ...context,
    records,
    explanationOf: target => promptSuspects.explanationOf(target),
  });
  return {crashSuspects, promptSuspects};
}
