/** Requests that may last nearly as long as a planned stop does, or longer. */
import {HOST_NAME} from '@oathead/platform/stand_ins';
import type {OnlineKind} from './online_load.js';

/** What a long request asks for, and how often it may run. */
export type LongKind =
  /** A stream that may run once only. */
  | 'letters'
  /** A stream that may go on at another target. */
  | 'reports'
  /** The like that outlasts a planned stop. */
  | 'chapters'
  /** A plain request that may run once only. */
  | 'decisions'
  /** A plain request that may be repeated. */
  | 'lookups';

/** A stream, or a request with one plain answer. */
type Form = 'stream' | 'plain';

/** One kind. */
interface LongRoute {
  readonly form: Form;
  /** How long the route lets a request take, in milliseconds. */
  readonly timeoutMs: number;
  readonly isRepeatable: boolean;
}

/** The routes, by the kind of request that they take. */
export const LONG_ROUTES: Readonly<Record<LongKind, LongRoute>> = {
  letters: {form: 'stream', timeoutMs: 5000, isRepeatable: false},
  reports: {form: 'stream', timeoutMs: 5000, isRepeatable: true},
  chapters: {form: 'stream', timeoutMs: 30_000, isRepeatable: true},
  decisions: {form: 'plain', timeoutMs: 2500, isRepeatable: false},
  lookups: {form: 'plain', timeoutMs: 2500, isRepeatable: true},
};

const LONG_KINDS = Object.keys(LONG_ROUTES) as readonly LongKind[];

/** @returns The routes, in the wire format of the configuration. */
export function longRoutes(): readonly object[] {
  return LONG_KINDS.map(kind => {
    const {form, timeoutMs, isRepeatable} = LONG_ROUTES[kind];
    const common = {
      name: kind,
      host: HOST_NAME,
      prefix: `/${kind}/`,
      timeout_ms: timeoutMs,
      latency_goal_ms: timeoutMs,
      max_attempts: isRepeatable ? 3 : 1,
    };
    if (form === 'plain')
      return {
        ...common,
        kind: isRepeatable ? 'safe' : 'unsafe',
        service: 'api',
      };
    return {
      ...common,
      kind: 'streaming',
      service: 'llm',
      resumable: isRepeatable,
    };
  });
}

/** @returns Whether a request of this kind is answered with a stream. */
export function isStream(kind: OnlineKind): boolean {
  if (isLong(kind)) return LONG_ROUTES[kind].form === 'stream';
  return kind === 'notes' || kind === 'flags';
}

/** @returns Whether a request of this kind may last nearly as long as a stop. */
export function isLong(kind: OnlineKind): kind is LongKind {
  return kind in LONG_ROUTES;
}
