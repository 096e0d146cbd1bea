/** Verbs that other packages carry out: `entry`, `demo`, `load`. */
import {failure} from '@oathead/core';
import {usageError} from '../cli_error.js';
import {outputOption, remoteOptions} from '../remote_options.js';
import {RUNNERS} from '../registered.js';
import type {
  DemoArgs,
  EntryArgs,
  LoadArgs,
  RunnerLoader,
} from '../registered.js';
import type {Verb, VerbContext, VerbOutcome} from '../verb.js';
import type {Argv} from 'yargs';

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

const LOAD_DEFAULTS = {
  rate: 10,
  seconds: 10,
  seed: 1,
  promptTokens: 128,
  maxTokens: 128,
} as const;

/** Sends load and reports what came of it. */
export const LOAD: Verb<LoadArgs> = {
  command: 'load <pool>',
  describe: 'Send load to a model or service, report latency and outcomes',
  examples: [
    {
      command: '$0 load review-llm --rate 20 --seconds 30',
      does: 'Twenty requests a second for half a minute',
    },
    {
      command: '$0 load review-llm --batch-items 2000 --svg load.svg',
      does: 'The same with a batch job beside it, and a chart',
    },
    {
      command: '$0 load limit-api --path review',
      does: 'Calls of a plain service',
    },
  ],
  options: parser =>
    outputOption(loadOptions(remoteOptions(parser))).positional('pool', {
      type: 'string',
      demandOption: true,
      describe: 'Name of the model or service',
    }),
  run: (args, context) => runWith('load', RUNNERS.load, args, context),
};

function loadOptions(parser: Argv): Argv {
  const {rate, seconds, seed, promptTokens, maxTokens} = LOAD_DEFAULTS;
  return parser
    .option('path', {
      type: 'string',
      describe: 'Path of a plain service; without it, the pool is a model',
    })
    .option('rate', {
      type: 'number',
      default: rate,
      describe: 'Requests a second, as Poisson arrivals',
    })
    .option('seconds', {
      type: 'number',
      default: seconds,
      describe: 'For how long',
    })
    .option('seed', {
      type: 'number',
      default: seed,
      describe: 'Decides the times of sending',
    })
    .option('prompt-tokens', {
      type: 'number',
      default: promptTokens,
      describe: 'Length of the prompts, about',
    })
    .option('max-tokens', {
      type: 'number',
      default: maxTokens,
      describe: 'Longest answer',
    })
    .option('stream', {
      type: 'boolean',
      default: true,
      describe: 'Read answers token by token',
    })
    .option('batch-items', {
      type: 'number',
      default: 0,
      describe: 'Items of a batch job to run beside it',
    })
    .option('svg', {type: 'string', describe: 'Write a chart to this file'});
}
