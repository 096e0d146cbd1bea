/**
 * Identifies work by its content, with the same result at every entry and
 * target process.
 */
import {fingerprint} from '../process/hash.js';
import type {Completion, ServiceCall, Work} from './work.js';

/**
 * Computes the fingerprint of work. It identifies suspects, and detects a
 * repeated request whose body has changed.
 *
 * @param work - Work that a caller requests.
 * @returns A 64-bit hash as 16 hexadecimal digits.
 */
export function workFingerprint(work: Work): string {
  const parts =
    work.kind === 'completion' ? completionParts(work) : callParts(work);
  return fingerprint(JSON.stringify(parts));
}

/**
 * Lists the fields in a fixed order, since the order in a parsed body depends
 * on its sender.
 */
function completionParts(work: Completion): readonly unknown[] {
  const {input} = work;
  const text =
    input.kind === 'prompt'
      ? input.prompt
      : input.messages.map(message => [message.role, message.content]);
  return [
    work.model,
    work.adapter,
    text,
    work.maxTokens,
    work.temperature,
    work.seed,
    work.stop,
  ];
}

function callParts(work: ServiceCall): readonly unknown[] {
  return [work.service, work.method, work.path, work.contentType, work.body];
}
