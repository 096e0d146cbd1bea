/**
 * Says in words why a request was refused, what its caller was promised, and
 * how long it waited for a late slot.
 *
 * Processes of other releases log other fields: a field that is missing or of
 * another type leaves its words out, and unknown ones are ignored.
 */

type Fields = Readonly<Record<string, unknown>>;

/** Words for a field, if the line has it. */
type Phrase = (fields: Fields) => string | undefined;

/** Words for the causes that are known. */
const CAUSES: ReadonlyMap<unknown, string> = new Map([
  ['room', 'no target had room'],
  ['share', 'its account was over its share'],
]);

const REFUSAL: readonly Phrase[] = [
  ({cause}) => CAUSES.get(cause) ?? textOf('refused: ', cause),
  ({use}) => numberText('its use: ', use),
  ({share}) => numberText('its share: ', share),
  ({room}) => numberText('use of all accounts: ', room),
  ({retryAfterMs, returnAfterMs}) =>
    numberText('told to return after, ms: ', retryAfterMs ?? returnAfterMs),
  ({promised, isReserved}) =>
    promised === true || isReserved === true
      ? 'room is kept for its return'
      : undefined,
];

const LATE_WAIT: readonly Phrase[] = [
  ({waitedMs}) => numberText('waited for a late slot, ms: ', waitedMs),
  ({outcome}) => textOf('outcome: ', outcome),
];

/** Words by event; other events speak for themselves. */
const PHRASES: ReadonlyMap<string, readonly Phrase[]> = new Map([
  ['request-given-up', REFUSAL],
  ['request-refused', REFUSAL],
  ['request-late-wait', LATE_WAIT],
]);

/**
 * @param event - Event of a log line.
 * @param fields - Fields of the line.
 * @returns What the line says, in words; undefined if there is nothing to add.
 */
export function refusalText(event: string, fields: Fields): string | undefined {
  const phrases = PHRASES.get(event) ?? [];
  const words = phrases
    .map(phrase => phrase(fields))
    .filter(text => text !== undefined);
  return words.length > 0 ? words.join('; ') : undefined;
}

function textOf(before: string, value: unknown): string | undefined {
  return typeof value === 'string' ? `${before}${value}` : undefined;
}

function numberText(before: string, value: unknown): string | undefined {
  return typeof value === 'number' ? `${before}${value}` : undefined;
}
