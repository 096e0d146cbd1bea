/** Verbs that other packages carry out: `entry`, `demo`, `load`. */
import {failure} from '@oathead/core';
import {usageError} from '../cli_error.js';
import {RUNNERS} from '../registered.js';
import type {
  DemoArgs,
  EntryArgs,
  LoadArgs,
  RunnerLoader,
} from '../registered.js';
import type {Verb, VerbContext, VerbOutcome} from '../verb.js';

async function runWith<T>(
  name: string,
  load: RunnerLoader<T> | undefined,
  args: T,
  context: VerbContext,
): Promise<VerbOutcome> {
  if (!load) return failure(usageError(`this build has no "${name}"`));
  const run = await load();
  return run(args, context);
}

/** Runs an entry. */
export const ENTRY: Verb<EntryArgs> = {
  command: 'entry',
  describe: 'Run an entry until it is told to stop',
  examples: [{command: '$0 entry --config entry.json', does: 'Run an entry'}],
  options: parser =>
    parser.option('config', {
      type: 'string',
      demandOption: true,
      describe: 'Its settings, a JSON file',
    }),
  run: (args, context) => runWith('entry', RUNNERS.entry, args, context),
};

const SERVE_PORT = 8_080;

/** Runs a small system in one process. */
export const DEMO: Verb<DemoArgs> = {
  command: 'demo',
  describe: 'Run a small system in one process, with stand-ins',
  examples: [
    {command: '$0 demo', does: 'Stream an answer, run a batch job, end'},
    {command: '$0 demo --serve', does: 'Stay up for requests by hand'},
  ],
  options: parser =>
    parser
      .option('serve', {
        type: 'boolean',
        default: false,
        describe: 'Stay up for requests by hand',
      })
      .option('port', {
        type: 'number',
        describe: 'Port of its first entry; 8080 while it stays up',
      }),
  run: ({serve, port = serve ? SERVE_PORT : undefined}, context) =>
    runWith('demo', RUNNERS.demo, {serve, port}, context),
};

const DEFAULT_RATE = 10;
const DEFAULT_SECONDS = 10;

/** Sends load and reports what came of it. */
export const LOAD: Verb<LoadArgs> = {
  command: 'load <pool>',
  describe: 'Send load to a model or service, report latency and outcomes',
  examples: [
    {
      command: '$0 load review-llm --rate 20 --seconds 30',
      does: 'Twenty requests a second for half a minute',
    },
  ],
  options: parser =>
    parser
      .positional('pool', {
        type: 'string',
        demandOption: true,
        describe: 'Name of the model or service',
      })
      .option('url', {type: 'string', describe: 'The server'})
      .option('key', {type: 'string', describe: 'Your bearer key'})
      .option('rate', {
        type: 'number',
        default: DEFAULT_RATE,
        describe: 'Requests a second',
      })
      .option('seconds', {
        type: 'number',
        default: DEFAULT_SECONDS,
        describe: 'For how long',
      }),
  run: (args, context) => runWith('load', RUNNERS.load, args, context),
};
