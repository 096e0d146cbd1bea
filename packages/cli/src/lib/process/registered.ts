/**
 * Where other packages register what the command line only starts. Each entry
 * imports its package when it is used, so that `oathead get` loads no server.
 */
import {failure, success} from '@oathead/core';
import type {z} from 'zod';
import {EXIT, usageError} from './cli_error.js';
import type {VerbContext, VerbOutcome} from './verb.js';

/** Settings files that can be checked. */
export type SettingsKind = 'entry' | 'target';

/** Imports the schema of a kind of settings. */
export type SchemaLoader = () => Promise<z.ZodType>;

/** Schemas by kind of settings; what is missing cannot be checked. */
export const SETTINGS_SCHEMAS: Readonly<
  Partial<Record<SettingsKind, SchemaLoader>>
> = {
  entry: async () => (await import('@oathead/entry')).ENTRY_SETTINGS,
  target: async () => (await import('@oathead/target')).TARGET_SETTINGS,
};

/** Runs until it ends by itself or the signal of the context is aborted. */
export type Runner<T> = (args: T, context: VerbContext) => Promise<VerbOutcome>;

/** Imports what carries out a verb. */
export type RunnerLoader<T> = () => Promise<Runner<T>>;

/** Arguments of `oathead entry`. */
export interface EntryArgs {
  readonly config: string;
}

/** Arguments of `oathead demo`. */
export interface DemoArgs {
  /** Stays up after its table, for requests by hand. */
  readonly serve: boolean;
  /** Port of its first entry; any free one without it. */
  readonly port?: number;
}

/** Arguments of `oathead load`. */
export interface LoadArgs {
  readonly url?: string;
  readonly key?: string;
  readonly pool: string;
  /** Path behind the name of a plain service; a model is called without it. */
  readonly path?: string;
  /** Requests a second. */
  readonly rate: number;
  readonly seconds: number;
  /** Decides the times of sending. */
  readonly seed: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Items of a batch job that runs beside it; none where 0. */
  readonly batchItems: number;
  /** File for a chart. */
  readonly svg?: string;
  readonly output: 'table' | 'json';
}

/** Verbs that other packages carry out; what is missing says so and fails. */
export const RUNNERS: {
  readonly entry?: RunnerLoader<EntryArgs>;
  readonly demo?: RunnerLoader<DemoArgs>;
  readonly load?: RunnerLoader<LoadArgs>;
} = {
  entry: async () => {
    const {runEntryProcess} = await import('@oathead/entry');
    return async ({config}, {signal, terminal}) => {
      outliveSigterm();
      const ended = await runEntryProcess(config, signal, ({port}) =>
        terminal.out(JSON.stringify({ready: true, port}) + '\n'),
      );
      if (ended.ok) return ended;
      return failure(
        usageError(`${config}: ${ended.err.kind}`, ended.err.problems),
      );
    };
  },
  demo: async () => {
    const {runDemo} = await import('@oathead/demo');
    return async ({serve, port}) => {
      if (serve) outliveSigterm();
      const code = await runDemo({serve, port});
      return code === EXIT.ok
        ? success(undefined)
        : failure({kind: 'failed', message: 'the demo did not come out well'});
    };
  },
  load: async () => (await import('./load_runner.js')).runLoadVerb,
};

/**
 * Guards against a second SIGTERM, which cuts off the callers of entries that are
 * stopping: the handler that begins the stop is there for one signal, and without
 * a handler the next one ends the process at once.
 */
function outliveSigterm(): void {
  process.on('SIGTERM', () => {});
}
