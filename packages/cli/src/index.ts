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
