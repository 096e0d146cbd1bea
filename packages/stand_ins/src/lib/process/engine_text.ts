/**
 * The text that the engine stand-in generates: a function of the request
 * alone, so that a test can tell whose answer it holds and whether it is whole,
 * also after it was resumed elsewhere.
 *
 * Markers in the prompt steer it: `[[impossible]]` fails for good once taken,
 * `[[crash]]` takes the engine down, `[[slow]]` generates all of the tokens
 * that are allowed, `[[length:N]]` generates N.
 */
import {
  fingerprint,
  hash32,
  inputText,
  type Completion,
  type FinishReason,
} from '@oathead/core';

/** What becomes of a request once the engine has taken it. */
export type Fate = 'answered' | 'impossible' | 'crash';

/** The answer that belongs to a request. */
export interface EngineText {
  readonly tokens: readonly string[];
  readonly text: string;
  readonly finishReason: FinishReason;
  readonly fate: Fate;
}

const WORDS =
  'alpha bravo charlie delta echo foxtrot golf hotel india juliett kilo lima mike november oscar papa'.split(
    ' ',
  );
const SHORTEST = 16;
const LENGTH_SPREAD = 240;
const LENGTH_MARKER = /\[\[length:(\d+)\]\]/;

/**
 * @param completion - What is asked for.
 * @returns The answer that every engine stand-in gives to it.
 */
export function engineText(completion: Completion): EngineText {
  const key = promptKey(completion);
  const wanted = naturalLength(completion, key);
  const count = Math.min(wanted, completion.maxTokens);
  const tokens = [...Array(count).keys()].map(i => tokenText(key, i));
  return {
    tokens,
    text: tokens.join(''),
    finishReason: count < wanted ? 'length' : 'stop',
    fate: fateOf(inputText(completion.input)),
  };
}

/**
 * @param completion - What is asked for.
 * @returns What must be equal for two answers to be equal.
 */
export function promptKey(completion: Completion): string {
  const {model, adapter = '', input} = completion;
  return fingerprint(`${model}\n${adapter}\n${inputText(input)}`);
}

/** The first token names the request, so that mixed-up answers show. */
function tokenText(key: string, index: number): string {
  if (index === 0) return key;
  return ` ${WORDS[hash32(`${key}#${index}`) % WORDS.length]}`;
}

function naturalLength(completion: Completion, key: string): number {
  const prompt = inputText(completion.input);
  if (prompt.includes('[[slow]]')) return completion.maxTokens;
  const marked = LENGTH_MARKER.exec(prompt)?.[1];
  if (marked !== undefined) return Number(marked);
  return SHORTEST + (hash32(key) % LENGTH_SPREAD);
}

function fateOf(prompt: string): Fate {
  if (prompt.includes('[[impossible]]')) return 'impossible';
  return prompt.includes('[[crash]]') ? 'crash' : 'answered';
}
