/** `oathead apply`: declares resources. */
import {success} from '@oathead/core';
import type {Outcome, Random} from '@oathead/core';
import type {ResourceView} from '@oathead/config';
import type {ApiClient} from '../../connection/api_client.js';
import {resourcePath} from '../../request/paths.js';
import {parseResourceFile, planOf} from '../../request/resource_file.js';
import type {ApplyStep} from '../../request/resource_file.js';
import {readTextFile} from '../../request/text_file.js';
import type {CliError} from '../cli_error.js';
import {connect, remoteOptions} from '../remote_options.js';
import type {RemoteArgs} from '../remote_options.js';
import type {Verb} from '../verb.js';

interface ApplyArgs extends RemoteArgs {
  readonly file: string;
}

/** Declares the resources of a file. */
export const APPLY: Verb<ApplyArgs> = {
  command: 'apply',
  describe: 'Declare the resources of a JSON file, or change them',
  examples: [
    {command: '$0 apply -f fleet.json', does: 'One resource, or a list'},
    {
      command: '$0 get targets t1 -o json | $0 apply -f -',
      does: 'From standard input, only if nobody changed it meanwhile',
    },
  ],
  options: parser =>
    remoteOptions(parser).option('file', {
      alias: 'f',
      type: 'string',
      demandOption: true,
      describe: 'The file, or - for standard input',
    }),
  async run(args, context) {
    const read = await readTextFile(args.file);
    if (!read.ok) return read;
    const parsed = parseResourceFile(read.value);
    if (!parsed.ok) return parsed;
    const connected = connect(args, context);
    if (!connected.ok) return connected;
    await using api = connected.value;
    for (const step of planOf(parsed.value)) {
      const applied = await applyStep(api, step, context.random);
      if (!applied.ok) {
        const {kind, name} = step.resource;
        context.terminal.err(`${kind}/${name} was not applied\n`);
        return applied;
      }
      if (step.onlyIfAbsent) continue;
      const {kind, name, resourceVersion} = applied.value!;
      context.terminal.out(`${kind}/${name} at version ${resourceVersion}\n`);
    }
    return success(undefined);
  },
};

/** A lost answer is no harm: the key makes a resend the same change. */
async function applyStep(
  api: ApiClient,
  {resource, onlyIfAbsent}: ApplyStep,
  random: Random,
): Promise<Outcome<ResourceView | undefined, CliError>> {
  const {kind, name, spec, resourceVersion} = resource;
  const put = await api.json<ResourceView>({
    method: 'PUT',
    path: resourcePath(kind, name),
    headers: {
      'idempotency-key': random.id(),
      ...(onlyIfAbsent ? {'if-none-match': '*'} : {}),
    },
    json: onlyIfAbsent ? {spec} : {spec, resourceVersion},
  });
  if (put.ok || !onlyIfAbsent) return put;
  const isThere =
    put.err.kind === 'refused' && put.err.refusal.kind === 'revision-conflict';
  return isThere ? success(undefined) : put;
}
