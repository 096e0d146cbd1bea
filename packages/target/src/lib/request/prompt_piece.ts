/** The beginning of a prompt, to be prefilled ahead of the rest. */
import {inputText} from '@oathead/core';
import type {ChatMessage, Completion, ModelInput} from '@oathead/core';

type Cut<K extends ModelInput['kind']> = (
  input: Extract<ModelInput, {readonly kind: K}>,
  characters: number,
) => ModelInput;

const CUTS: {readonly [K in ModelInput['kind']]: Cut<K>} = {
  prompt: ({kind, prompt}, characters) => ({
    kind,
    prompt: prompt.slice(0, characters),
  }),
  chat: ({kind, messages}, characters) => ({
    kind,
    messages: firstMessages(messages, characters),
  }),
};

/**
 * @param completion - What is to be generated.
 * @param share - How much of the prompt to take, from 0 to 1.
 * @returns A completion of the prompt's beginning, by one token: the engine
 *     caches the beginning, and goes on behind it when it gets the whole.
 */
export function promptPiece(completion: Completion, share: number): Completion {
  const {input} = completion;
  const characters = Math.ceil(inputText(input).length * Math.min(1, share));
  const cut = CUTS[input.kind] as Cut<ModelInput['kind']>;
  return {...completion, input: cut(input, characters), maxTokens: 1};
}

/** Counts characters as the text of the input does. */
function firstMessages(
  messages: readonly ChatMessage[],
  characters: number,
): readonly ChatMessage[] {
  const taken: ChatMessage[] = [];
  let left = characters;
  for (const {role, content} of messages) {
    left -= `${role}: `.length;
    if (left <= 0) break;
    taken.push({role, content: content.slice(0, left)});
    left -= content.length + 1;
  }
  return taken;
}
