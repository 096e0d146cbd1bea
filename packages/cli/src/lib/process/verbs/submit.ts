/** `oathead submit`: hands in a batch job. */
import type {JobStatus} from '@oathead/batch';
import {failure, isFinalJobState, sleep, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import {createHash} from 'node:crypto';
import {createReadStream} from 'node:fs';
import {stat} from 'node:fs/promises';
import {Transform} from 'node:stream';
import type {ApiClient} from '../../connection/api_client.js';
import {parseDue} from '../../request/due.js';
import type {Due} from '../../request/due.js';
import {jobPath, withQuery} from '../../request/paths.js';
import {usageError} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {jobText} from '../job_text.js';
import {startProgress} from '../progress.js';
import type {Progress} from '../progress.js';
import {connect, outputOption, remoteOptions} from '../remote_options.js';
import type {OutputArgs, RemoteArgs} from '../remote_options.js';
import type {Verb, VerbContext} from '../verb.js';

interface SubmitArgs extends RemoteArgs, OutputArgs {
  readonly file: string;
  readonly id?: string;
  readonly due?: string;
  readonly wait: boolean;
}

interface JobFile {
  readonly bytes: number;
  /** Names the content. */
  readonly hash: string;
}

const ID_DIGITS = 32;
const POLL_MS = 2_000;
const JSON_TYPE = 'application/json';
const JSONL_TYPE = 'application/jsonl';

/** Hands in a batch job; handing it in again is the same job. */
export const SUBMIT: Verb<SubmitArgs> = {
  command: 'submit <file>',
  describe: 'Hand in a batch job; handing it in again is the same job',
  examples: [
    {
      command: '$0 submit pairings.jsonl --id night-7 --due 8h',
      does: 'One item a line, due in eight hours',
    },
    {
      command: '$0 submit files.jsonl --wait',
      does: 'The content names the job; wait for its end',
    },
    {command: '$0 submit job.json', does: 'One JSON object with all items'},
  ],
  options: parser =>
    outputOption(remoteOptions(parser))
      .positional('file', {
        type: 'string',
        demandOption: true,
        describe: 'JSON lines, or one JSON object (.json)',
      })
      .option('id', {
        type: 'string',
        describe: 'Id of the job; made from the content without it',
      })
      .option('due', {
        type: 'string',
        describe: 'A time such as 2030-01-31T06:00:00Z, or a span such as 8h',
      })
      .option('wait', {
        type: 'boolean',
        default: false,
        describe: 'Wait for the end of the job',
      }),
  async run(args, context) {
    if (isObject(args.file) && (args.id ?? args.due) !== undefined) {
      const message = 'a JSON object names its id and its dueAt itself';
      return failure(usageError(message));
    }
    const due = parseDue(args.due, context.clock.wallTime());
    if (!due.ok) return due;
    const file = await describe(args.file);
    if (!file.ok) return file;
    const connected = connect(args, context);
    if (!connected.ok) return connected;
    await using api = connected.value;
    const accepted = await send(api, args, file.value, due.value, context);
    if (!accepted.ok) return accepted;
    const job = args.wait
      ? await untilEnded(api, accepted.value, context)
      : accepted;
    if (!job.ok) return job;
    context.terminal.out(jobText(job.value, args.output) + '\n');
    return success(undefined);
  },
};

async function describe(path: string): Promise<Outcome<JobFile, CliError>> {
  try {
    const {size} = await stat(path);
    const hash = createHash('sha256');
    for await (const bytes of createReadStream(path)) {
      hash.update(bytes as Buffer);
    }
    return success({bytes: size, hash: hash.digest('hex')});
  } catch (err) {
    return failure(usageError(`cannot read: ${(err as Error).message}`));
  }
}

async function send(
  api: ApiClient,
  args: SubmitArgs,
  file: JobFile,
  due: Due | undefined,
  {terminal}: VerbContext,
): Promise<Outcome<JobStatus, CliError>> {
  using progress = startProgress(terminal, 'bytes sent', file.bytes);
  const isJson = isObject(args.file);
  const id = isJson ? undefined : (args.id ?? file.hash.slice(0, ID_DIGITS));
  const dueAt = await dueAtOf(api, id, due);
  if (!dueAt.ok) return dueAt;
  return api.json<JobStatus>({
    method: 'POST',
    path: withQuery(jobPath(), {id, dueAt: dueAt.value}),
    headers: {
      'content-type': isJson ? JSON_TYPE : JSONL_TYPE,
      'content-length': String(file.bytes),
    },
    open: () => createReadStream(args.file).pipe(counting(progress)),
  });
}

/**
 * Guards against a resend that is another job: an hour from now is not what it
 * was an hour ago. A job that is there already keeps its own due time.
 */
async function dueAtOf(
  api: ApiClient,
  id: string | undefined,
  due: Due | undefined,
): Promise<Outcome<number | undefined, CliError>> {
  if (!due?.relative || id === undefined) return success(due?.dueAt);
  const read = await api.json<JobStatus>({method: 'GET', path: jobPath(id)});
  if (read.ok) return success(read.value.dueAt);
  const isNew =
    read.err.kind === 'refused' && read.err.refusal.kind === 'not-found';
  return isNew ? success(due.dueAt) : read;
}

function isObject(file: string): boolean {
  return file.endsWith('.json');
}

function counting(progress: Progress): Transform {
  let sent = 0;
  return new Transform({
    transform(bytes: Buffer, encoding, done) {
      sent += bytes.length;
      progress.update(sent);
      done(null, bytes);
    },
  });
}

async function untilEnded(
  api: ApiClient,
  accepted: JobStatus,
  {terminal, clock, signal}: VerbContext,
): Promise<Outcome<JobStatus, CliError>> {
  using progress = startProgress(terminal, 'items', accepted.items);
  let job = accepted;
  while (!isFinalJobState(job.state) && !signal.aborted) {
    progress.update(job.items - job.counts.waiting);
    await sleep(clock, POLL_MS, signal);
    const read = await api.json<JobStatus>({
      method: 'GET',
      path: jobPath(job.id),
    });
    if (!read.ok) return read;
    job = read.value;
  }
  return success(job);
}
