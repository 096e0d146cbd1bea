/** The command line of `oathead-target`. */
import {SYSTEM_CLOCK, seededRandom, systemSeed} from '@oathead/core';
import {Metrics, loadSettings, formatSettingsError} from '@oathead/observe';
import {createRequire} from 'node:module';
import yargs from 'yargs';
import {runDaemon} from './daemon.js';
import type {DaemonParts} from './daemon.js';
import {TARGET_SETTINGS} from './target_settings.js';

/** What differs between the real process and one in a test. */
export interface MainParts extends Pick<
  DaemonParts,
  'createAdmission' | 'createEngine' | 'createService' | 'listening'
> {
  /** Asks the process to stop; its signals do by default. */
  readonly stop?: AbortSignal;
  /** Takes what was asked for. */
  print(text: string): void;
  /** Takes what is wrong. */
  printError(text: string): void;
}

const EXIT_OK = 0;
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const {version} = createRequire(import.meta.url)('../../../package.json') as {
  readonly version: string;
};

interface CommandLine {
  readonly config?: string;
  /** Help, version or what is wrong; nothing is to be run then. */
  readonly output: string;
  readonly failed: boolean;
}

/**
 * Runs a target process.
 *
 * @param argv - Arguments behind the name of the program.
 * @param parts - What the process is made of.
 * @returns The exit code: 0 after a stop that was asked for, 1 when it could
 *     not run, 2 for a wrong command line or wrong settings.
 */
export async function runMain(
  argv: readonly string[],
  parts: MainParts,
): Promise<number> {
  const line = await parseCommandLine(argv);
  if (line.failed) {
    parts.printError(line.output);
    return EXIT_USAGE;
  }
  if (line.config === undefined) {
    parts.print(line.output);
    return EXIT_OK;
  }
  const settings = await loadSettings(line.config, TARGET_SETTINGS);
  if (!settings.ok) {
    parts.printError(formatSettingsError(settings.err));
    return EXIT_USAGE;
  }
  try {
    await runDaemon(settings.value, daemonParts(parts));
    return EXIT_OK;
  } catch (err) {
    parts.printError(`oathead-target: ${(err as Error).message}`);
    return EXIT_FAILED;
  }
}

function daemonParts(parts: MainParts): DaemonParts {
  return {
    clock: SYSTEM_CLOCK,
    random: seededRandom(systemSeed()),
    metrics: new Metrics(),
    createAdmission: parts.createAdmission,
    createEngine: parts.createEngine,
    createService: parts.createService,
    stop: parts.stop ?? stopSignal(),
    listening: parts.listening,
  };
}

/**
 * Guards against a second SIGTERM, which breaks all streams of a process that lets
 * them end: without a handler it ends the process at once, so that the handler
 * stays after the first one. Who presses Ctrl-C twice wants the process to end.
 */
function stopSignal(): AbortSignal {
  const stop = new AbortController();
  const onSignal = () => stop.abort();
  process.on('SIGTERM', onSignal);
  process.once('SIGINT', onSignal);
  return stop.signal;
}

function parseCommandLine(argv: readonly string[]): Promise<CommandLine> {
  const parser = yargs()
    .scriptName('oathead-target')
    .usage('$0 --config FILE\n\nServes the entries of one target.')
    .option('config', {
      type: 'string',
      requiresArg: true,
      demandOption: true,
      describe: 'settings file (JSON)',
    })
    .strict()
    .version(version)
    .exitProcess(false);
  return new Promise(resolve => {
    void parser.parse([...argv], {}, (err, args, output) => {
      const config = output === '' ? (args.config as string) : undefined;
      resolve({config, output, failed: err !== undefined && err !== null});
    });
  });
}
