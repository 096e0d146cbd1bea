/**
 * How long it may matter at which software version a stream began: as long as
 * the configurations of the operator let streams run, and until their callers
 * have taken them up.
 */
import type {Route} from '../version/routing_table.js';

/**
 * How long after its end a stream can still be taken up, in milliseconds: longer
 * than callers wait between two attempts.
 */
export const TAKE_UP_MS = 10_000;

/** What a configuration says of streams. */
type StreamRoute = Pick<Route, 'resumable' | 'timeoutMs'>;

/** A configuration that was replaced, whose streams may still run. */
interface ReplacedTimeout {
  readonly timeoutMs: number;
  /** When it was replaced, in monotonic milliseconds. */
  readonly at: number;
}

/** The lifetime of streams by the configurations that may have begun them. */
export class StreamLifetime {
  /** Longest timeout of a resumable route; undefined before a configuration. */
  private timeoutMs: number | undefined;
  private replaced: readonly ReplacedTimeout[] = [];

  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(private readonly now: () => number) {}

  /**
   * Time from the begin of a stream until it cannot be taken up any more, in
   * milliseconds. Infinite before a configuration is known: other hosts may
   * already have told of their streams.
   */
  get ms(): number {
    if (this.timeoutMs === undefined) return Infinity;
    const running = this.replaced.filter(one => this.mayRun(one));
    const timeouts = running.map(({timeoutMs}) => timeoutMs);
    return Math.max(this.timeoutMs, ...timeouts) + TAKE_UP_MS;
  }

  /** @param routes - Routes of a configuration that takes effect now. */
  adopt(routes: readonly StreamRoute[]): void {
    const timeouts = routes
      .filter(({resumable}) => resumable)
      .map(({timeoutMs}) => timeoutMs);
    const timeoutMs = Math.max(0, ...timeouts);
    const before = this.timeoutMs;
    this.timeoutMs = timeoutMs;
    this.replaced = this.replaced.filter(one => this.mayRun(one));
    if (before === undefined || before <= timeoutMs) return;
    this.replaced = [...this.replaced, {timeoutMs: before, at: this.now()}];
  }

  /** Whether a stream that began under a configuration may be taken up. */
  private mayRun({timeoutMs, at}: ReplacedTimeout): boolean {
    return this.now() - at <= timeoutMs + TAKE_UP_MS;
  }
}
