/** `oathead status`: the whole system on one screen. */
import type {StatusReport} from '@oathead/config';
import {success} from '@oathead/core';
import {connect, outputOption, remoteOptions} from '../remote_options.js';
import type {OutputArgs, RemoteArgs} from '../remote_options.js';
import {statusText} from '../status_text.js';
import type {Verb} from '../verb.js';

/** Tells what is declared, what is in force where, and what is wrong. */
export const STATUS: Verb<RemoteArgs & OutputArgs> = {
  command: 'status',
  describe: 'What is declared, in force where, leaving, at risk and refused',
  examples: [
    {command: '$0 status', does: 'On one screen'},
    {command: '$0 status -o json', does: 'For other tools'},
  ],
  options: parser => outputOption(remoteOptions(parser)),
  async run(args, context) {
    const connected = connect(args, context);
    if (!connected.ok) return connected;
    await using api = connected.value;
    const read = await api.json<StatusReport>({
      method: 'GET',
      path: '/v1/status',
    });
    if (!read.ok) return read;
    const {terminal, clock} = context;
    const text =
      args.output === 'json'
        ? JSON.stringify(read.value, null, 2)
        : statusText(read.value, clock.wallTime());
    terminal.out(text + '\n');
    return success(undefined);
  },
};
