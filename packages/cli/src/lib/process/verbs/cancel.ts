/** `oathead cancel`: stops a batch job. */
import type {JobStatus} from '@oathead/batch';
import {success} from '@oathead/core';
import {jobPath} from '../../request/paths.js';
import {jobText} from '../job_text.js';
import {connect, outputOption, remoteOptions} from '../remote_options.js';
import type {OutputArgs, RemoteArgs} from '../remote_options.js';
import type {Verb} from '../verb.js';

interface CancelArgs extends RemoteArgs, OutputArgs {
  readonly job: string;
}

/** Cancels a batch job; what is done stays readable. */
export const CANCEL: Verb<CancelArgs> = {
  command: 'cancel <job>',
  describe: 'Cancel a batch job; results that it has stay readable',
  examples: [{command: '$0 cancel night-run-7', does: 'Stop the job'}],
  options: parser =>
    outputOption(remoteOptions(parser)).positional('job', {
      type: 'string',
      demandOption: true,
      describe: 'Id of the job',
    }),
  async run(args, context) {
    const connected = connect(args, context);
    if (!connected.ok) return connected;
    await using api = connected.value;
    const cancelled = await api.json<JobStatus>({
      method: 'POST',
      path: jobPath(args.job, 'cancel'),
    });
    if (!cancelled.ok) return cancelled;
    context.terminal.out(jobText(cancelled.value, args.output) + '\n');
    return success(undefined);
  },
};
