/** Follows a watch over cut connections. */
import {failure, sleep, success} from '@oathead/core';
import type {Clock, Outcome} from '@oathead/core';
import type {WatchEvent} from '@oathead/config';
import {EventSourceParserStream} from 'eventsource-parser/stream';
import {Readable} from 'node:stream';
import type {CliError} from '../process/cli_error.js';
import type {ApiClient} from './api_client.js';

const FIRST_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;

/** What is followed, and how. */
export interface FollowOptions {
  readonly api: ApiClient;
  /** What is watched, such as `/v1/resources`. */
  readonly path: string;
  /** The revision behind which to begin; from now on without it. */
  readonly since: number | undefined;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  /** Told of each cut. */
  readonly onCut: (err: CliError) => void;
  /** @returns Whether to go on. */
  readonly onEvent: (event: WatchEvent) => boolean;
}

type Connection =
  | {readonly kind: 'ended'; readonly outcome: Outcome<void, CliError>}
  | {readonly kind: 'cut'; readonly err: CliError; readonly since?: number};

/**
 * Follows a watch. A cut connection is made again behind the last event that
 * was seen, at whichever entry the balancer leads to.
 *
 * @param options - What is followed.
 * @returns Why it ended; a success when `onEvent` or the signal ended it.
 */
export async function follow(
  options: FollowOptions,
): Promise<Outcome<void, CliError>> {
  let since = options.since;
  let backoff = FIRST_BACKOFF_MS;
  for (;;) {
    const connection = await followOnce(options, since);
    if (options.signal.aborted) return success(undefined);
    if (connection.kind === 'ended') return connection.outcome;
    if (connection.since !== since) backoff = FIRST_BACKOFF_MS;
    since = connection.since;
    options.onCut(connection.err);
    await sleep(options.clock, backoff, options.signal);
    backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
  }
}

async function followOnce(
  {api, path, onEvent}: FollowOptions,
  since: number | undefined,
): Promise<Connection> {
  const query = since === undefined ? '' : `&since=${since}`;
  const res = await api.stream({
    method: 'GET',
    path: `${path}?watch=true${query}`,
    headers: {accept: 'text/event-stream'},
  });
  if (!res.ok) {
    return since !== undefined && res.err.kind === 'unreachable'
      ? {kind: 'cut', err: res.err, since}
      : {kind: 'ended', outcome: res};
  }
  let last = since;
  try {
    for await (const event of eventsOf(res.value.body)) {
      if (event.type === 'gone') {
        const err: CliError = {kind: 'refused', refusal: event.refusal};
        return {kind: 'ended', outcome: failure(err)};
      }
      last = event.revision;
      if (!onEvent(event)) return {kind: 'ended', outcome: success(undefined)};
    }
  } catch (err) {
    return {kind: 'cut', err: cut(String(err)), since: last};
  }
  return {kind: 'cut', err: cut('the server ended the watch'), since: last};
}

async function* eventsOf(body: Readable): AsyncGenerator<WatchEvent> {
  const events = Readable.toWeb(body)
    .pipeThrough(new TextDecoderStream())
    .pipeThrough(new EventSourceParserStream());
  for await (const {data} of events) yield JSON.parse(data) as WatchEvent;
}

function cut(message: string): CliError {
  return {kind: 'unreachable', message, sent: true};
}
