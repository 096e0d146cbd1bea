/** `oathead delete`: deletes a resource. */
import {success} from '@oathead/core';
import type {ResourceView} from '@oathead/config';
import {connect, remoteOptions} from '../remote_options.js';
import type {RemoteArgs} from '../remote_options.js';
import {resourcePath} from '../../request/paths.js';
import type {Verb} from '../verb.js';

interface DeleteArgs extends RemoteArgs {
  readonly kind: string;
  readonly name: string;
  readonly ifMatch?: number;
}

/** Deletes a resource that no other names. */
export const DELETE: Verb<DeleteArgs> = {
  command: 'delete <kind> <name>',
  describe: 'Delete a resource that no other one names',
  examples: [
    {command: '$0 delete versions review-llm-1', does: 'Delete a version'},
    {
      command: '$0 delete limits bank-a --if-match 12',
      does: 'Only if nobody has changed it since version 12',
    },
  ],
  options: parser =>
    remoteOptions(parser)
      .positional('kind', {
        type: 'string',
        demandOption: true,
        describe: 'Such as versions',
      })
      .positional('name', {
        type: 'string',
        demandOption: true,
        describe: 'Name of the resource',
      })
      .option('if-match', {
        type: 'number',
        describe: 'Only if it is at this version',
      }),
  async run(args, context) {
    const connected = connect(args, context);
    if (!connected.ok) return connected;
    await using api = connected.value;
    const deleted = await api.json<ResourceView>({
      method: 'DELETE',
      path: resourcePath(args.kind, args.name),
      headers: {
        'idempotency-key': context.random.id(),
        ...(args.ifMatch === undefined
          ? {}
          : {'if-match': `"${args.ifMatch}"`}),
      },
    });
    if (!deleted.ok) return deleted;
    context.terminal.out(`${args.kind}/${args.name} deleted\n`);
    return success(undefined);
  },
};
