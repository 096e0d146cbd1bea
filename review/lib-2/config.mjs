/** The operator's configuration of a small deployment. */
const ROUTES = [
  {
    name: 'notes',
    host: 'bank.example',
    prefix: '/notes/',
    kind: 'streaming',
    service: 'llm',
    timeout_ms: 5000,
    latency_goal_ms: 300,
    gap_goal_ms: 500,
    max_attempts: 2,
    resumable: true,
    sticky: true,
    priority: 0,
  },
  {
    name: 'lookups',
    host: 'bank.example',
    prefix: '/lookups/',
    kind: 'safe',
    service: 'api',
    timeout_ms: 1500,
    latency_goal_ms: 121,
    max_attempts: 3,
    priority: 1,
  },
  {
    name: 'payments',
    host: 'bank.example',
    prefix: '/payments/',
    kind: 'unsafe',
    service: 'api',
    timeout_ms: 3000,
    latency_goal_ms: 200,
    max_attempts: 1,
    priority: 1,
  },
  {
    name: 'files',
    host: 'bank.example',
    prefix: '/files/',
    kind: 'bulk',
    service: 'llm',
    timeout_ms: 15_000,
    latency_goal_ms: 400,
    completion_goal_ms: 18_000,
    retention_s: 60,
    max_attempts: 3,
    priority: 2,
    sticky: true,
  },
];

/** @returns The configuration, with the fields that differ. */
export function configuration(change = {}) {
  return {
    version: 7,
    routes: ROUTES,
    services: [{name: 'llm'}, {name: 'api'}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    ...change,
  };
}
