/** `oathead check-config`: checks a file before it is used. */
import {failure, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import {parseResourceFile} from '../../request/resource_file.js';
import {readTextFile} from '../../request/text_file.js';
import {usageError} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {SETTINGS_SCHEMAS} from '../registered.js';
import type {SettingsKind} from '../registered.js';
import type {Verb} from '../verb.js';

interface CheckArgs {
  readonly file: string;
  readonly as: FileKind;
}

type FileKind = SettingsKind | 'resources';

type Check = (file: string) => Promise<Outcome<unknown, CliError>>;

const CHECKS: Readonly<Record<FileKind, Check>> = {
  entry: file => checkSettings('entry', file),
  target: file => checkSettings('target', file),
  resources: async file => {
    const read = await readTextFile(file);
    return read.ok ? parseResourceFile(read.value) : read;
  },
};

/** Checks a file and lists every problem with its path. */
export const CHECK_CONFIG: Verb<CheckArgs> = {
  command: 'check-config <file>',
  describe: 'Check a settings or resource file, list every problem',
  examples: [
    {command: '$0 check-config entry.json', does: 'Settings of an entry'},
    {
      command: '$0 check-config target.json --as target',
      does: 'Settings of a target process',
    },
    {
      command: '$0 check-config fleet.json --as resources',
      does: 'What apply would read',
    },
  ],
  options: parser =>
    parser
      .positional('file', {
        type: 'string',
        demandOption: true,
        describe: 'The file',
      })
      .option('as', {
        choices: Object.keys(CHECKS) as readonly FileKind[],
        default: 'entry',
        describe: 'What it is to be',
      }),
  async run({file, as}, {terminal}) {
    const checked = await CHECKS[as](file);
    if (!checked.ok) return checked;
    terminal.out(`${file}: fine\n`);
    return success(undefined);
  },
};

async function checkSettings(
  kind: SettingsKind,
  file: string,
): Promise<Outcome<unknown, CliError>> {
  const load = SETTINGS_SCHEMAS[kind];
  if (!load) {
    const message = `this build cannot check settings of ${kind}`;
    return failure(usageError(message));
  }
  const {loadSettings} = await import('@oathead/observe');
  const loaded = await loadSettings(file, await load());
  if (loaded.ok) return loaded;
  return failure(
    usageError(`${file}: ${loaded.err.kind}`, loaded.err.problems),
  );
}
