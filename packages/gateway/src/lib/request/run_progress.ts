/** How far a run has come, which tells whether it can have crashed its target. */
import type {EventSink} from './target_request.js';

/**
 * A request that crashes its target does so when the target begins to answer it,
 * at most this long after its first event, in milliseconds. A run that has
 * lasted longer was broken by another one.
 */
const CRASH_WINDOW_MS = 1000;

/** The events of a run that has just begun. */
export class RunProgress {
  private firstEventAt: number | undefined;
  private lasted = false;

  /**
   * @param now - Returns the time by which crashes are dated, in milliseconds.
   * @param onLasted - Called once when the run has lasted too long to crash its
   *     target.
   */
  constructor(
    private readonly now: () => number,
    private readonly onLasted: () => void,
  ) {}

  /**
   * @param sink - Receives the events of the run.
   * @returns A sink that passes them on and notes when they come.
   */
  watched(sink: EventSink): EventSink {
    return {
      events: (events, head) => {
        this.recordEvents();
        return sink.events(events, head);
      },
    };
  }

  /** When the first event came; undefined before it. */
  get firstEventAtMs(): number | undefined {
    return this.firstEventAt;
  }

  /** Whether the run has lasted too long to crash its target. */
  get hasLasted(): boolean {
    return this.lasted;
  }

  private recordEvents(): void {
    const now = this.now();
    this.firstEventAt ??= now;
    if (this.lasted || now - this.firstEventAt <= CRASH_WINDOW_MS) return;
    this.lasted = true;
    this.onLasted();
  }
}
