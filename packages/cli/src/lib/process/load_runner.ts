/** `oathead load`: sends the load, writes the report. */
import {writeFile} from 'node:fs/promises';
import {failure, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import {
  createApiSender,
  loadReport,
  loadReportSvg,
  loadReportText,
  poissonArrivals,
  runLoad,
  startBatchBeside,
} from '@oathead/load';
import type {BatchBeside, LoadReport} from '@oathead/load';
import {usageError} from './cli_error.js';
import type {CliError} from './cli_error.js';
import type {LoadArgs} from './registered.js';
import {DEFAULT_URL} from './remote_options.js';
import type {VerbContext, VerbOutcome} from './verb.js';

const DRAIN_MS = 60_000;
const MAX_REQUESTS = 1_000_000;

const WRITERS: Readonly<
  Record<LoadArgs['output'], (report: LoadReport) => string>
> = {
  table: loadReportText,
  json: report => JSON.stringify(report) + '\n',
};

interface Remote {
  readonly url: string;
  readonly key: string | undefined;
}

/**
 * Sends a load and writes what came of it.
 *
 * @param args - The load.
 * @param context - Terminal, clock and environment.
 * @returns A failure when the load could not be sent or nothing was answered.
 */
export async function runLoadVerb(
  args: LoadArgs,
  context: VerbContext,
): Promise<VerbOutcome> {
  const remote = checked(args, context);
  if (!remote.ok) return remote;
  const batch = await startBatch(args, remote.value, context);
  if (!batch.ok) return batch;
  const report = await send(args, remote.value, context);
  context.terminal.out(WRITERS[args.output](report));
  if (batch.value) {
    const done = await batch.value.done();
    context.terminal.err(`batch: ${done} of ${args.batchItems} items done\n`);
    await batch.value.cancel();
  }
  if (args.svg !== undefined) {
    await writeFile(args.svg, await loadReportSvg(report));
  }
  if (report.whole.count > 0) return success(undefined);
  return failure({kind: 'failed', message: 'no request was answered'});
}

/** Options that yargs takes and that make no load. */
function checked(
  args: LoadArgs,
  {env}: VerbContext,
): Outcome<Remote, CliError> {
  const wrong = POSITIVE.find(name => !(args[name] > 0));
  if (wrong) return failure(usageError(`--${wrong} must be above 0`));
  if (args.rate * args.seconds > MAX_REQUESTS) {
    const message = `--rate and --seconds make over ${MAX_REQUESTS} requests`;
    return failure(usageError(message));
  }
  if (args.path !== undefined && args.batchItems > 0) {
    return failure(usageError('--batch-items needs a model, not a --path'));
  }
  const url = args.url ?? env['OATHEAD_URL'] ?? DEFAULT_URL;
  if (!/^https?:\/\//.test(url) || !URL.canParse(url)) {
    return failure(usageError(`not an http(s) URL: ${url}`));
  }
  const {origin} = new URL(url);
  return success({url: origin, key: args.key ?? env['OATHEAD_KEY']});
}

const POSITIVE = ['rate', 'seconds'] as const;

async function startBatch(
  {batchItems, pool, promptTokens, maxTokens}: LoadArgs,
  {url, key}: Remote,
  {random}: VerbContext,
): Promise<Outcome<BatchBeside | undefined, CliError>> {
  if (batchItems <= 0) return success(undefined);
  try {
    const batch = await startBatchBeside({
      url,
      key,
      jobId: `load-${random.id()}`,
      model: pool,
      items: batchItems,
      promptTokens,
      maxTokens,
    });
    return success(batch);
  } catch (err) {
    return failure({kind: 'failed', message: (err as Error).message});
  }
}

async function send(
  args: LoadArgs,
  {url, key}: Remote,
  {clock, signal}: VerbContext,
): Promise<LoadReport> {
  const {pool, path, rate, seconds, seed} = args;
  await using sender = createApiSender({
    urls: [url],
    key,
    pool,
    ...(path === undefined ? {} : {servicePath: path}),
    promptTokens: args.promptTokens,
    maxTokens: args.maxTokens,
    stream: args.stream,
  });
  const recorder = await runLoad({
    clock,
    send: sender.send,
    arrivals: poissonArrivals(seed, rate, seconds),
    drainMs: DRAIN_MS,
    signal,
  });
  const head = {pool, requestsPerSecond: rate, seconds};
  return loadReport(head, recorder);
}
