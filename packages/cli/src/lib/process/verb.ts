/** What a verb of the command line is made of. */
import type {Clock, Outcome, Random} from '@oathead/core';
import type {Argv} from 'yargs';
import type {CliError} from './cli_error.js';

/** Where a verb writes. */
export interface Terminal {
  /** Results, for people and pipes. */
  out(text: string): void;
  /** Whatever is not a result. */
  err(text: string): void;
  /** Whether `err` is a terminal, so that progress can be drawn on it. */
  readonly interactive: boolean;
}

/** What a verb runs with. */
export interface VerbContext {
  readonly terminal: Terminal;
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
  readonly random: Random;
  /** Aborted when the user interrupts. */
  readonly signal: AbortSignal;
}

/** How a verb ends. */
export type VerbOutcome = Outcome<void, CliError>;

/** An example for `--help`. */
export interface Example {
  readonly command: string;
  readonly does: string;
}

/** One verb. */
export interface Verb<T = unknown> {
  /** Name and positional arguments, as `yargs` writes them. */
  readonly command: string;
  readonly describe: string;
  readonly examples: readonly Example[];
  /**
   * Declares the options.
   *
   * @param parser - Takes them; it is changed by each declaration.
   */
  options(parser: Argv): void;
  run(args: T, context: VerbContext): Promise<VerbOutcome>;
}
