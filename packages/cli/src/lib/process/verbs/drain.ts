/** `oathead drain`: takes a target out, or back in. */
import {failure, mayHaveRun, sleep, success} from '@oathead/core';
import type {Outcome, TargetSpec} from '@oathead/core';
import type {ResourceView} from '@oathead/config';
import type {ApiClient} from '../../connection/api_client.js';
import {resourcePath} from '../../request/paths.js';
import type {CliError} from '../cli_error.js';
import {connect, remoteOptions} from '../remote_options.js';
import type {RemoteArgs} from '../remote_options.js';
import type {Verb, VerbContext} from '../verb.js';

interface DrainArgs extends RemoteArgs {
  readonly target: string;
  readonly undo: boolean;
  readonly wait?: number;
}

const POLL_MS = 1_000;
const MAX_RACES = 5;

/** Takes a target out: it finishes what it has and gets nothing new. */
export const DRAIN: Verb<DrainArgs> = {
  command: 'drain <target>',
  describe: 'Take a target out: it finishes what it has, gets nothing new',
  examples: [
    {command: '$0 drain hall-a-3', does: 'Take it out'},
    {
      command: '$0 drain hall-a-3 --wait 600',
      does: 'And wait until nothing is left on it, at most ten minutes',
    },
    {command: '$0 drain hall-a-3 --undo', does: 'Take it back in'},
  ],
  options: parser =>
    remoteOptions(parser)
      .positional('target', {
        type: 'string',
        demandOption: true,
        describe: 'Name of the target',
      })
      .option('undo', {
        type: 'boolean',
        default: false,
        describe: 'Take it back in',
      })
      .option('wait', {
        type: 'number',
        describe: 'Wait until it is empty, at most so many seconds',
      }),
  async run(args, context) {
    const connected = connect(args, context);
    if (!connected.ok) return connected;
    await using api = connected.value;
    const declared = await declare(api, args, context);
    if (!declared.ok) return declared;
    const word = args.undo ? 'taken back in' : 'leaving';
    context.terminal.out(`targets/${args.target} ${word}\n`);
    if (args.undo || args.wait === undefined) return success(undefined);
    return await untilEmpty(api, args.target, args.wait, context);
  },
};

/** Changes one field; another operator's change of the target is kept. */
async function declare(
  api: ApiClient,
  {target, undo}: DrainArgs,
  {random}: VerbContext,
): Promise<Outcome<ResourceView, CliError>> {
  const path = resourcePath('targets', target);
  for (let race = 1; ; race++) {
    const read = await api.json<ResourceView>({method: 'GET', path});
    if (!read.ok) return read;
    const {spec, resourceVersion} = read.value;
    const put = await api.json<ResourceView>({
      method: 'PUT',
      path,
      headers: {
        'idempotency-key': random.id(),
        'if-match': `"${resourceVersion}"`,
      },
      json: {spec: {...(spec as TargetSpec), leaving: !undo}},
    });
    const lost =
      !put.ok &&
      put.err.kind === 'refused' &&
      put.err.refusal.kind === 'revision-conflict';
    if (!lost || race === MAX_RACES) return put;
  }
}

async function untilEmpty(
  api: ApiClient,
  target: string,
  waitSeconds: number,
  {clock, terminal, signal}: VerbContext,
): Promise<Outcome<void, CliError>> {
  const deadline = clock.now() + waitSeconds * 1_000;
  for (;;) {
    const path = resourcePath('targets', target);
    const read = await api.json<ResourceView>({method: 'GET', path});
    if (!read.ok) return read;
    const leaving = read.value.status.conditions.find(
      ({type}) => type === 'Leaving',
    );
    if (leaving?.status === 'true' && leaving.reason === 'Empty') {
      terminal.out(`targets/${target} empty\n`);
      return success(undefined);
    }
    if (signal.aborted || clock.now() >= deadline) {
      const message = `not empty yet: ${leaving?.message ?? 'not heard of'}`;
      const refusal = mayHaveRun('deadline-exceeded', message);
      return failure({kind: 'refused', refusal});
    }
    await sleep(clock, POLL_MS, signal);
  }
}
