/**
 * The command line of the stand-ins: each runs as a process of its own, says
 * `{"ready":true,"port":N}` on one line once it listens, and ends on SIGTERM
 * or SIGINT.
 */
import {once} from 'node:events';
import yargs, {type Argv} from 'yargs';
import {z} from 'zod';
import {EngineStandIn} from './engine_stand_in.js';
import {
  DEFAULT_PLATFORM_STAND_IN,
  PlatformStandIn,
} from './platform_stand_in.js';
import {DEFAULT_SERVED_MODELS} from './served_models.js';
import {ServiceStandIn} from './service_stand_in.js';

const EXIT_CRASHED = 1;
const EXIT_BAD_USAGE = 2;

/** What runs until it is told to end. */
interface StandIn extends AsyncDisposable {
  listen(port: number): Promise<number>;
}

const COUNT = z.number().int().positive();
const MS = z.number().nonnegative();

const ENGINE_ARGUMENTS = z.object({
  serves: z.array(z.string().regex(/^[^@]+@[^@]+$/, 'must be MODEL@VERSION')),
  speed: z.number().positive(),
  fences: z.boolean(),
  loadVersionMs: MS,
  loadAdapterMs: MS,
  /** As `EngineModelOptions`, from a settings file. */
  model: z
    .strictObject({
      maxSequences: COUNT,
      stepMs: MS,
      stepMsPerSequence: MS,
      prefillTokensPerSecond: COUNT,
      prefillTokensPerStep: COUNT,
      kvTokens: COUNT,
      prefixCacheTokens: COUNT,
      cacheBlockTokens: COUNT,
      importTokensPerSecond: COUNT,
      loadIntervalMs: MS,
      loadLagMs: MS,
      cacheEventLagMs: MS,
      cacheEventLoss: z.number().min(0).max(1),
      seed: z.number().int(),
    })
    .partial()
    .optional(),
});

const SERVICE_ARGUMENTS = z.object({delayMs: MS});

const PLATFORM_ARGUMENTS = z.object({
  writesPerSecond: COUNT,
  readsPerSecond: COUNT,
  concurrentLoads: COUNT,
  weights: z.array(z.object({name: z.string(), bytes: COUNT})).optional(),
  hosts: z
    .array(
      z.object({
        id: z.string(),
        role: z.enum(['entry', 'target']),
        address: z.string(),
        dataCentre: z.string(),
        state: z.enum(['live', 'leaving']),
      }),
    )
    .optional(),
});

function createEngine(args: z.infer<typeof ENGINE_ARGUMENTS>): StandIn {
  const {serves, fences, loadVersionMs, loadAdapterMs, ...rest} = args;
  const versions = serves.map(name => {
    const [model, version] = name.split('@');
    return {model: model!, version: version!};
  });
  return new EngineStandIn({
    ...rest,
    served: {versions, checksFence: fences, loadVersionMs, loadAdapterMs},
    onCrash: () => process.exit(EXIT_CRASHED),
  });
}

function createService(args: z.infer<typeof SERVICE_ARGUMENTS>): StandIn {
  const standIn = new ServiceStandIn();
  standIn.service.setFaults(args);
  return standIn;
}

function engineFlags(parser: Argv): Argv {
  const {loadVersionMs, loadAdapterMs} = DEFAULT_SERVED_MODELS;
  return parser
    .option('serves', {
      type: 'string',
      array: true,
      default: ['review-llm@v1'],
      describe: 'What is ready at first, as MODEL@VERSION',
    })
    .option('speed', {
      type: 'number',
      default: 1,
      describe: 'How many times as fast as a real engine',
    })
    .option('fences', {
      type: 'boolean',
      default: true,
      describe: 'Refuse orders with an old fencing token',
    })
    .option('load-version-ms', {type: 'number', default: loadVersionMs})
    .option('load-adapter-ms', {type: 'number', default: loadAdapterMs});
}

function serviceFlags(parser: Argv): Argv {
  return parser.option('delay-ms', {
    type: 'number',
    default: 5,
    describe: 'Time that each call takes',
  });
}

function platformFlags(parser: Argv): Argv {
  const {writesPerSecond, readsPerSecond, concurrentLoads} =
    DEFAULT_PLATFORM_STAND_IN;
  return parser
    .option('writes-per-second', {type: 'number', default: writesPerSecond})
    .option('reads-per-second', {type: 'number', default: readsPerSecond})
    .option('concurrent-loads', {type: 'number', default: concurrentLoads});
}

interface Command<T> {
  readonly describe: string;
  readonly flags: (parser: Argv) => Argv;
  readonly schema: z.ZodType<T>;
  readonly create: (args: T) => StandIn;
}

function command<T>(definition: Command<T>) {
  const {describe, flags, schema, create} = definition;
  const start = (args: unknown) => create(schema.parse(args));
  return {describe, flags, start};
}

const COMMANDS = {
  engine: command({
    describe: 'A model engine',
    flags: engineFlags,
    schema: ENGINE_ARGUMENTS,
    create: createEngine,
  }),
  service: command({
    describe: 'A plain service',
    flags: serviceFlags,
    schema: SERVICE_ARGUMENTS,
    create: createService,
  }),
  platform: command({
    describe: "The platform's table, objects, weights and host list",
    flags: platformFlags,
    schema: PLATFORM_ARGUMENTS,
    create: args => new PlatformStandIn(args),
  }),
} as const;

/**
 * Runs a stand-in until it is told to end.
 *
 * @param argv - Arguments of the command line.
 * @returns The exit code: 0 when ended by a signal, 2 for wrong arguments.
 */
export async function main(argv: readonly string[]): Promise<number> {
  let exitCode = 0;
  const parser = yargs(argv)
    .scriptName('stand_ins')
    .option('port', {
      type: 'number',
      default: 0,
      describe: 'Where to listen; 0 for any free port',
    })
    .config('config', 'A JSON file with any of the options')
    .demandCommand(1, 1)
    .strictCommands()
    .exitProcess(false)
    .fail((message, err) => {
      throw err ?? new Error(message);
    });
  for (const [name, {describe, flags, start}] of Object.entries(COMMANDS))
    parser.command(name, describe, flags, args => run(start(args), args));
  try {
    await parser.parseAsync();
  } catch (err) {
    console.error(messageOf(err));
    exitCode = EXIT_BAD_USAGE;
  }
  return exitCode;
}

async function run(standIn: StandIn, args: unknown): Promise<void> {
  const {port} = z.object({port: z.number()}).parse(args);
  const bound = await standIn.listen(port);
  console.log(JSON.stringify({ready: true, port: bound}));
  await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
  await standIn[Symbol.asyncDispose]();
}

function messageOf(err: unknown): string {
  if (err instanceof z.ZodError) return z.prettifyError(err);
  return err instanceof Error ? err.message : String(err);
}
