/** Options of the verbs that talk to a server. */
import {failure, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import type {Argv} from 'yargs';
import {ApiClient} from '../connection/api_client.js';
import {usageError} from './cli_error.js';
import type {CliError} from './cli_error.js';
import type {VerbContext} from './verb.js';

/** Used where neither flag nor environment names a server. */
export const DEFAULT_URL = 'http://127.0.0.1:7400';

const STALE_NOTICE =
  'the store cannot be read: what follows may be some seconds old\n';

/** Where the server is, and who asks. */
export interface RemoteArgs {
  readonly url: string | undefined;
  readonly key: string | undefined;
}

/** How results are written. */
export type OutputFormat = 'json' | 'table';

/** Options of the verbs that print results. */
export interface OutputArgs {
  readonly output: OutputFormat;
}

/**
 * Declares the options of every verb that talks to a server.
 *
 * @param parser - The parser of the verb.
 * @returns The parser.
 */
export function remoteOptions(parser: Argv): Argv {
  return parser
    .option('url', {
      type: 'string',
      describe: `The server; else OATHEAD_URL, else ${DEFAULT_URL}`,
    })
    .option('key', {
      type: 'string',
      describe: 'Your bearer key; else OATHEAD_KEY, which hides it from ps',
    });
}

/**
 * Declares `-o`.
 *
 * @param parser - The parser of the verb.
 * @returns The parser.
 */
export function outputOption(parser: Argv): Argv {
  return parser.option('output', {
    alias: 'o',
    choices: ['table', 'json'] as const,
    default: 'table',
    describe: 'How results are written',
  });
}

/**
 * @param args - The options as given.
 * @param context - Holds the environment.
 * @returns A client of the server, or what is wrong with its URL.
 */
export function connect(
  {url, key}: RemoteArgs,
  {env, clock, random, signal, terminal}: VerbContext,
): Outcome<ApiClient, CliError> {
  const text = url ?? env['OATHEAD_URL'] ?? DEFAULT_URL;
  const parsed = URL.canParse(text) ? new URL(text) : undefined;
  if (!parsed || !['http:', 'https:'].includes(parsed.protocol)) {
    return failure(usageError(`not an http(s) URL: ${text}`));
  }
  return success(
    new ApiClient({
      origin: parsed.origin,
      key: key ?? env['OATHEAD_KEY'],
      clock,
      random,
      signal,
      onStale: () => terminal.err(STALE_NOTICE),
    }),
  );
}
