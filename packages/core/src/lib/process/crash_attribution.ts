/**
 * Decides whether the crashes under a part of prompts are those of one request.
 * Answers a load in which one request ends each target that runs it and is sent
 * again and again, while sound requests share the parts of its prompt.
 */

/**
 * Number of crashes under other requests that speak against the part: a target
 * may crash for a reason of its own while a request with the part runs there.
 */
const MIN_OTHER_CRASHES = 2;

/**
 * @param crashes - IDs of the targets that crashed under a part.
 * @param requests - For each request with that part, the IDs of the targets that
 *     crashed under it.
 * @returns Whether one of the requests accounts for the crashes, so that they
 *     say nothing about the part.
 */
export function isUnderOneRequest(
  crashes: readonly string[],
  requests: ReadonlyArray<readonly string[]>,
): boolean {
  return requests.some(targets => {
    const others = crashes.filter(target => !targets.includes(target));
    return others.length < MIN_OTHER_CRASHES;
  });
}
