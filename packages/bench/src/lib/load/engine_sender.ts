/** Sends requests straight to engines, past the system. */
import {Agent} from 'undici';
import {createParser} from 'eventsource-parser';
import type {ApiSender} from '@oathead/load';

/** What is sent to the engines. */
export interface EngineSenderOptions {
  readonly urls: readonly string[];
  readonly model: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/**
 * @param options - What is sent; requests take the engines in turn.
 * @returns A sender that reads the same answers as one to an entry.
 */
export function createEngineSender(options: EngineSenderOptions): ApiSender {
  const agent = new Agent({pipelining: 1, connections: null});
  const {urls} = options;
  return {
    send: async (index, onPart, signal) => {
      const res = await agent.request({
        origin: urls[index % urls.length]!,
        method: 'POST',
        path: '/v1/generate',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(bodyOf(options, index)),
        signal,
      });
      let done = false;
      const parser = createParser({
        onEvent: ({data}) => {
          const {kind} = JSON.parse(data) as {readonly kind: string};
          if (kind === 'token') onPart();
          done ||= kind === 'done';
        },
      });
      const decoder = new TextDecoder();
      for await (const chunk of res.body) {
        parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
      }
      return done ? {kind: 'done'} : {kind: 'broken', message: 'no end'};
    },
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
}

function bodyOf(
  {model, promptTokens, maxTokens}: EngineSenderOptions,
  index: number,
) {
  const prompt = `${index} [[slow]] ${'pay '.repeat(promptTokens)}`;
  const input = {kind: 'prompt', prompt};
  const completion = {kind: 'completion', model, input, maxTokens};
  return {id: `direct-${index}`, completion};
}
