/** Names work by its content, alike at every entry and target process. */
import {fingerprint} from '../process/hash.js';
import type {Completion, ServiceCall, Work} from './work.js';

/**
 * Two requests with the same fingerprint ask for the same thing: suspects are
 * known by it, and a resend with another body is told by it.
 *
 * @param work - What a caller wants done.
 * @returns A 64-bit hash as 16 hexadecimal digits.
 */
export function workFingerprint(work: Work): string {
  const parts = work.kind === 'completion' ? partsOf(work) : callParts(work);
  return fingerprint(JSON.stringify(parts));
}

/** Fields in a fixed order: that of a parsed body depends on its sender. */
function partsOf(work: Completion): readonly unknown[] {
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
