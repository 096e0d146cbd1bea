/** The parts of the prompt of a request. */
import {fingerprint} from '@oathead/core';

/** The parts of the prompt of a request, and the service that it goes to. */
export interface PromptParts {
  readonly service: string;
  /** IDs of the parts that other requests may have, too. */
  readonly sharedParts: readonly string[];
}

/**
 * @param service - A service.
 * @param part - ID of a part, as callers send it.
 * @returns A key for both, which is short and of known characters.
 */
export function partKeyOf(service: string, part: string): string {
  return fingerprint(`${service}\n${part}`);
}

/** @returns The keys of the parts of a prompt, in order. */
export function partKeysOf({
  service,
  sharedParts,
}: PromptParts): readonly string[] {
  return sharedParts.map(part => partKeyOf(service, part));
}
