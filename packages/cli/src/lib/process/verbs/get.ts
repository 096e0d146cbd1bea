/** `oathead get`: reads resources. */
import {success} from '@oathead/core';
import type {ResourceListView, ResourceView} from '@oathead/config';
import {remoteOptions, connect, outputOption} from '../remote_options.js';
import type {OutputArgs, RemoteArgs} from '../remote_options.js';
import {resourceTable} from '../resource_table.js';
import {resourcePath} from '../../request/paths.js';
import type {Verb} from '../verb.js';

interface GetArgs extends RemoteArgs, OutputArgs {
  readonly kind?: string;
  readonly name?: string;
}

/** Reads one resource, all of a kind, or all. */
export const GET: Verb<GetArgs> = {
  command: 'get [kind] [name]',
  describe: 'Read declared resources and what the system says about them',
  examples: [
    {command: '$0 get', does: 'All resources'},
    {command: '$0 get models', does: 'All models'},
    {
      command: '$0 get models review-llm -o json',
      does: 'One model; edit it and send it back with apply',
    },
  ],
  options: parser =>
    outputOption(remoteOptions(parser))
      .positional('kind', {type: 'string', describe: 'Such as models'})
      .positional('name', {type: 'string', describe: 'Name of one resource'}),
  async run(args, context) {
    const connected = connect(args, context);
    if (!connected.ok) return connected;
    await using api = connected.value;
    const read = await api.json<ResourceView | ResourceListView>({
      method: 'GET',
      path: resourcePath(args.kind, args.name),
    });
    if (!read.ok) return read;
    const {terminal, clock} = context;
    if (args.output === 'json') {
      terminal.out(JSON.stringify(read.value, null, 2) + '\n');
      return success(undefined);
    }
    const resources =
      'resources' in read.value ? read.value.resources : [read.value];
    terminal.out(resourceTable(resources, clock.wallTime()) + '\n');
    return success(undefined);
  },
};
