/** `oathead watch`: tells of changes as they happen. */
import {success} from '@oathead/core';
import type {WatchEvent} from '@oathead/config';
import {follow} from '../../connection/event_stream.js';
import {errorText} from '../cli_error.js';
import {connect, outputOption, remoteOptions} from '../remote_options.js';
import type {OutputArgs, RemoteArgs} from '../remote_options.js';
import {resourcePath} from '../../request/paths.js';
import type {Verb} from '../verb.js';

interface WatchArgs extends RemoteArgs, OutputArgs {
  readonly kind?: string;
  readonly since?: number;
  readonly count?: number;
}

/** Tells of each change once, over cut connections. */
export const WATCH: Verb<WatchArgs> = {
  command: 'watch [kind]',
  describe: 'Tell of changes to resources as they happen, each once',
  examples: [
    {command: '$0 watch', does: 'All changes from now on'},
    {
      command: '$0 watch targets --since 41 -o json',
      does: 'Changes of targets after revision 41, one JSON a line',
    },
    {command: '$0 watch --count 1', does: 'Wait for the next change'},
  ],
  options: parser =>
    outputOption(remoteOptions(parser))
      .positional('kind', {type: 'string', describe: 'Such as targets'})
      .option('since', {
        type: 'number',
        describe: 'Begin behind this revision; from now on without it',
      })
      .option('count', {
        type: 'number',
        describe: 'End after so many changes',
      }),
  async run(args, context) {
    const connected = connect(args, context);
    if (!connected.ok) return connected;
    await using api = connected.value;
    const {terminal, clock, signal} = context;
    let left = args.count ?? Infinity;
    if (left <= 0) return success(undefined);
    return await follow({
      api,
      path: resourcePath(args.kind),
      since: args.since,
      clock,
      signal,
      onCut: err => terminal.err(`${errorText(err)}; watching again\n`),
      onEvent: event => {
        terminal.out(
          (args.output === 'json' ? JSON.stringify(event) : lineOf(event)) +
            '\n',
        );
        return --left > 0;
      },
    });
  },
};

function lineOf(event: WatchEvent): string {
  if (event.type === 'gone') return 'gone';
  const {kind, name} = event.resource;
  return `${event.revision}\t${event.type}\t${kind}/${name}`;
}
