/** Why a verb failed, and the exit code that says so. */
import type {Problem, Refusal, RefusalKind} from '@oathead/core';

/** Exit codes, as `--help` lists them. */
export const EXIT = {
  ok: 0,
  failed: 1,
  usage: 2,
  unreachable: 3,
  conflict: 4,
  notFound: 5,
  forbidden: 6,
  tryAgain: 7,
  unknownOutcome: 8,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** What each exit code means. */
export const EXIT_MEANINGS: Readonly<Record<ExitCode, string>> = {
  [EXIT.ok]: 'fine',
  [EXIT.failed]: 'refused, or failed for good',
  [EXIT.usage]: 'bad usage, settings or file',
  [EXIT.unreachable]: 'the server cannot be reached',
  [EXIT.conflict]: 'changed by another, or the id is in use',
  [EXIT.notFound]: 'not found, or gone',
  [EXIT.forbidden]: 'the key is missing, wrong or has no right',
  [EXIT.tryAgain]: 'not possible now, try again',
  [EXIT.unknownOutcome]: 'it is not known whether it was done',
};

const EXIT_OF_REFUSAL: Readonly<Record<RefusalKind, ExitCode>> = {
  'invalid-request': EXIT.failed,
  'too-large': EXIT.failed,
  suspect: EXIT.failed,
  cancelled: EXIT.failed,
  internal: EXIT.failed,
  'engine-failed': EXIT.failed,
  'target-lost': EXIT.failed,
  unauthorized: EXIT.forbidden,
  forbidden: EXIT.forbidden,
  'not-found': EXIT.notFound,
  gone: EXIT.notFound,
  'key-conflict': EXIT.conflict,
  'revision-conflict': EXIT.conflict,
  'outcome-unknown': EXIT.unknownOutcome,
  'rate-limited': EXIT.tryAgain,
  overloaded: EXIT.tryAgain,
  'no-target': EXIT.tryAgain,
  leaving: EXIT.tryAgain,
  'store-unavailable': EXIT.tryAgain,
  fenced: EXIT.tryAgain,
  'deadline-exceeded': EXIT.tryAgain,
};

/** Why a verb failed. */
export type CliError =
  | {
      readonly kind: 'usage';
      readonly message: string;
      readonly problems?: readonly Problem[];
    }
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {
      readonly kind: 'unreachable';
      readonly message: string;
      /** The request was sent, and may have been carried out. */
      readonly sent: boolean;
    }
  /** It ran, and did not come out as it should. */
  | {readonly kind: 'failed'; readonly message: string}
  /** The answer is not what the server of this version gives. */
  | {readonly kind: 'malformed'; readonly message: string};

type ByKind<T> = {
  readonly [K in CliError['kind']]: (err: CliError & {readonly kind: K}) => T;
};

const EXIT_OF_ERROR: ByKind<ExitCode> = {
  usage: () => EXIT.usage,
  refused: ({refusal}) =>
    refusal.ran === 'may-have-run' && refusal.kind === 'store-unavailable'
      ? EXIT.unknownOutcome
      : EXIT_OF_REFUSAL[refusal.kind],
  unreachable: () => EXIT.unreachable,
  failed: () => EXIT.failed,
  malformed: () => EXIT.failed,
};

const TEXT_OF_ERROR: ByKind<readonly string[]> = {
  usage: ({message, problems = []}) => [message, ...problems.map(problemText)],
  refused: ({refusal}) => [
    `${refusal.kind} (${refusal.ran}): ${refusal.message}`,
    ...('problems' in refusal ? (refusal.problems ?? []) : []).map(problemText),
  ],
  unreachable: ({message, sent}) => [
    sent
      ? `the connection was lost, it may have been carried out: ${message}`
      : `the server cannot be reached: ${message}`,
  ],
  failed: ({message}) => [message],
  malformed: ({message}) => [`the answer cannot be read: ${message}`],
};

function problemText({path, message}: Problem): string {
  return `  ${path}: ${message}`;
}

/**
 * @param err - Why a verb failed.
 * @returns Its exit code.
 */
export function exitCodeOf<K extends CliError['kind']>(
  err: CliError & {readonly kind: K},
): ExitCode {
  return EXIT_OF_ERROR[err.kind as K](err);
}

/**
 * @param err - Why a verb failed.
 * @returns Lines for a person.
 */
export function errorText<K extends CliError['kind']>(
  err: CliError & {readonly kind: K},
): string {
  return TEXT_OF_ERROR[err.kind as K](err).join('\n');
}

/**
 * @param message - What is wrong with how the verb was called.
 * @param problems - All that is wrong with a file.
 * @returns An error of usage.
 */
export function usageError(
  message: string,
  problems?: readonly Problem[],
): CliError {
  return {kind: 'usage', message, problems};
}
