/** `oathead results`: reads the results of a batch job. */
import type {ItemResult, JobStatus} from '@oathead/batch';
import {failure, sleep, success} from '@oathead/core';
import type {Outcome, Refusal} from '@oathead/core';
import {open} from 'node:fs/promises';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import type {ApiClient} from '../../connection/api_client.js';
import {jobPath, withQuery} from '../../request/paths.js';
import {errorText, usageError} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {startProgress} from '../progress.js';
import {connect, remoteOptions} from '../remote_options.js';
import type {RemoteArgs} from '../remote_options.js';
import type {Verb, VerbContext} from '../verb.js';

interface ResultsArgs extends RemoteArgs {
  readonly job: string;
  readonly after?: string;
  readonly out?: string;
}

const FIRST_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;
/** Cuts in a row without one new line. */
const MAX_IDLE_CUTS = 6;

/** Where lines go; resolves when there is room for more. */
type Sink = (line: string) => void | Promise<void>;

/** Reads the results of a batch job, over cut connections. */
export const RESULTS: Verb<ResultsArgs> = {
  command: 'results <job>',
  describe: 'Read the results of a batch job, one JSON a line',
  examples: [
    {command: '$0 results night-7 --out night-7.jsonl', does: 'Into a file'},
    {
      command: '$0 results night-7 --after item-100',
      does: 'Only those behind an item',
    },
  ],
  options: parser =>
    remoteOptions(parser)
      .positional('job', {
        type: 'string',
        demandOption: true,
        describe: 'Id of the job',
      })
      .option('after', {
        type: 'string',
        describe: 'Begin behind this item',
      })
      .option('out', {
        type: 'string',
        describe: 'Write to this file, from its begin',
      }),
  async run(args, context) {
    const connected = connect(args, context);
    if (!connected.ok) return connected;
    await using api = connected.value;
    if (args.out === undefined) {
      return await download(
        api,
        args,
        line => context.terminal.out(line),
        context,
      );
    }
    const opened = await openFile(args.out);
    if (!opened.ok) return opened;
    await using file = opened.value;
    return await download(api, args, line => file.appendFile(line), context);
  },
};

async function openFile(path: string) {
  try {
    return success(await open(path, 'w'));
  } catch (err) {
    const message = `cannot write: ${(err as Error).message}`;
    return failure<CliError>(usageError(message));
  }
}

/** A cut stream goes on behind the last whole line that was read. */
async function download(
  api: ApiClient,
  {job, after}: ResultsArgs,
  write: Sink,
  {terminal, clock, signal}: VerbContext,
): Promise<Outcome<void, CliError>> {
  const status = await api.json<JobStatus>({method: 'GET', path: jobPath(job)});
  if (!status.ok) return status;
  using progress = startProgress(terminal, 'results', status.value.items);
  let last = after;
  let count = 0;
  let idleCuts = 0;
  for (;;) {
    const path = withQuery(jobPath(job, 'results'), {after: last});
    const res = await api.stream({method: 'GET', path});
    if (!res.ok) return res;
    const ended = await readLines(res.value.body, async (item, line) => {
      await write(line);
      last = item;
      idleCuts = 0;
      progress.update(++count);
    });
    if (ended.ok || signal.aborted) return ended;
    if (++idleCuts > MAX_IDLE_CUTS) return ended;
    terminal.err(`${errorText(ended.err)}; reading on\n`);
    const backoff = FIRST_BACKOFF_MS * 2 ** idleCuts;
    await sleep(clock, Math.min(backoff, MAX_BACKOFF_MS), signal);
  }
}

type Line = ItemResult | {readonly error: Refusal};

async function readLines(
  body: Readable,
  onItem: (item: string, line: string) => Promise<void>,
): Promise<Outcome<void, CliError>> {
  try {
    for await (const line of createInterface({input: body})) {
      if (line === '') continue;
      const parsed = JSON.parse(line) as Line;
      if ('error' in parsed) {
        return failure({kind: 'refused', refusal: parsed.error});
      }
      await onItem(parsed.item, line + '\n');
    }
    return success(undefined);
  } catch (err) {
    return failure({kind: 'unreachable', message: String(err), sent: true});
  }
}
