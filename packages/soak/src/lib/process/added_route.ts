/** Routes that a run adds to the configuration. */

/**
 * @param prefix - Prefix of the paths that the route takes.
 * @returns The route, in the wire format of the configuration.
 */
export function addedRoute(prefix: string): object {
  return {
    name: prefix,
    host: 'bank.example',
    prefix,
    kind: 'safe',
    service: 'api',
    timeout_ms: 1500,
    latency_goal_ms: 100,
    max_attempts: 3,
  };
}
