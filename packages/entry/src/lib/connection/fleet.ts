/** The targets that an entry can send to, as the dispatcher needs them. */
import type {ServeClass, ServeOutcome, TargetLink} from '@oathead/core';

/** What a target is wanted for. */
export interface TargetQuery {
  readonly pool: string;
  readonly adapter?: string;
  readonly class: ServeClass;
  readonly promptTokens: number;
  /** Text whose start decides which targets have it cached. */
  readonly prefix?: string;
  /**
   * The same key goes to the same few targets from every entry, since they
   * remember its outcome.
   */
  readonly dedupeKey?: string;
  /** Targets that were tried. */
  readonly tried: ReadonlySet<string>;
}

/** One attempt at a target; its load counts from here until it has ended. */
export interface Attempt {
  readonly targetId: string;
  readonly link: TargetLink;
  /** The first token came. */
  firstToken(): void;
  /**
   * @param outcome - How it ended; undefined when the link was lost or the
   *     attempt given up.
   */
  ended(outcome: ServeOutcome | undefined): void;
}

/** The targets that an entry can send to. */
export interface Fleet {
  /** @returns An attempt at the best target, or undefined where none is left. */
  begin(query: TargetQuery): Attempt | undefined;
}
