/** The command line: finds the verb, runs it, ends with its exit code. */
import {SYSTEM_CLOCK, seededRandom, systemSeed} from '@oathead/core';
import type {Clock} from '@oathead/core';
import yargs from 'yargs';
import type {Argv} from 'yargs';
import {EXIT, EXIT_MEANINGS, errorText, exitCodeOf} from './cli_error.js';
import type {ExitCode} from './cli_error.js';
import type {VerbContext} from './verb.js';
import {VERBS} from './verbs.js';
import type {AnyVerb} from './verbs.js';

const MAX_WIDTH = 100;

/**
 * Runs one verb.
 *
 * @param argv - The arguments, without program and script.
 * @param context - What the verb runs with; the process itself without it.
 * @returns The exit code.
 */
export async function main(
  argv: readonly string[],
  context: VerbContext = systemContext(),
): Promise<ExitCode> {
  const {terminal} = context;
  let exitCode: ExitCode = EXIT.ok;
  const parser = VERBS.reduce(
    (all, verb) =>
      declare(all, verb, async args => {
        const outcome = await verb.run(args, context);
        if (outcome.ok) return;
        terminal.err(`oathead: ${errorText(outcome.err)}\n`);
        exitCode = exitCodeOf(outcome.err);
      }),
    newParser(),
  );
  await parser.parseAsync([...argv], {}, (err, args, output) => {
    if (!err) {
      if (output) terminal.out(`${output}\n`);
      return;
    }
    // Errors of verbs are values; whatever else is thrown is a broken invariant.
    if (err.name !== 'YError') throw err;
    terminal.err(`${output}\n`);
    exitCode = EXIT.usage;
  });
  return exitCode;
}

function newParser(): Argv {
  return yargs()
    .scriptName('oathead')
    .usage('$0 <verb> [options]')
    .strict()
    .recommendCommands()
    .demandCommand(1, 'Which verb?')
    .wrap(MAX_WIDTH)
    .version(false)
    .epilogue(exitCodesText());
}

function declare(
  parser: Argv,
  verb: AnyVerb,
  run: (args: never) => Promise<void>,
): Argv {
  return parser.command({
    command: verb.command,
    describe: verb.describe,
    builder: own => {
      verb.options(own);
      for (const {command, does} of verb.examples) own.example(command, does);
      return own;
    },
    handler: args => run(args as never),
  });
}

function exitCodesText(): string {
  const lines = Object.entries(EXIT_MEANINGS).map(
    ([code, meaning]) => `  ${code}  ${meaning}`,
  );
  return ['Exit codes:', ...lines].join('\n');
}

/**
 * Guards against a verb that ends in the middle of a wait: the timers of the
 * system's clock do not keep a process up, and nothing else does here.
 */
const WAITING_CLOCK: Clock = {
  ...SYSTEM_CLOCK,
  after(delayMs, callback) {
    const timer = setTimeout(callback, delayMs);
    return {[Symbol.dispose]: () => clearTimeout(timer)};
  },
};

function systemContext(): VerbContext {
  const stop = new AbortController();
  for (const name of ['SIGINT', 'SIGTERM'] as const) {
    process.once(name, () => stop.abort());
  }
  return {
    terminal: {
      out: text => process.stdout.write(text),
      err: text => process.stderr.write(text),
      interactive: process.stderr.isTTY,
    },
    env: process.env,
    clock: WAITING_CLOCK,
    random: seededRandom(systemSeed()),
    signal: stop.signal,
  };
}
