/**
 * The command line `oathead`: the entry, the operators' verbs, the demo and the
 * load generator.
 *
 * @packageDocumentation
 */
export {EXIT, EXIT_MEANINGS} from './lib/process/cli_error.js';
export type {CliError, ExitCode} from './lib/process/cli_error.js';
export {main} from './lib/process/main.js';
export type {Terminal, VerbContext, VerbOutcome} from './lib/process/verb.js';
import yargs from 'yargs';

/**
 * Runs one verb.
 *
 * @param argv - The words of the command line.
 * @returns An exit code.
 */
export async function main(argv: readonly string[]): Promise<number> {
  let code = 2;
  await yargs([...argv])
    .scriptName('oathead')
    .command(
      'demo',
      'Runs a small fleet in this process, on loopback',
      builder =>
        builder
          .option('serve', {type: 'boolean', default: false})
          .option('port', {type: 'number', default: 8080}),
      async ({serve, port}) => {
        const {runDemo} = await import('@oathead/demo');
        code = await runDemo(serve ? {serve, port} : {serve});
      },
    )
    .demandCommand(1)
    .strict()
    .parseAsync();
  return code;
}
