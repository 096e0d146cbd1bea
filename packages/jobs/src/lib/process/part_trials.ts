/**
 * Lets items run whose prompts have a blocked part. Items are owed and no part of
 * them crashes targets, so the part is blocked wrongly: the first item that lasts
 * clears it. Until then one item with the part runs at a time on each host, which
 * bounds the damage if it does crash targets.
 */
import {crashPauseMs} from './crash_pause.js';

/** What is known of the items with one part. */
interface PartTrial {
  /** Whether one of them runs. */
  readonly isRunning: boolean;
  /** Number of targets that have crashed under them in a row. */
  readonly crashes: number;
  /** When the next one may run, on the monotonic clock in milliseconds. */
  readonly notBefore: number;
}

/** A run of an item with blocked parts. */
export interface RunningTrial {
  /** @param hasCrashed - Whether its target seems to have crashed under it. */
  end(hasCrashed: boolean): void;
}

const NO_TRIAL: PartTrial = {isRunning: false, crashes: 0, notBefore: 0};

/** The blocked parts that items of this host try. */
export class PartTrials {
  private readonly trials = new Map<string, PartTrial>();

  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(private readonly now: () => number) {}

  /**
   * @param parts - Keys of the blocked parts of an item.
   * @returns Whether the item may run now.
   */
  mayStart(parts: readonly string[]): boolean {
    const now = this.now();
    return parts.every(part => {
      const {isRunning, notBefore} = this.trialOf(part);
      return !isRunning && notBefore <= now;
    });
  }

  /**
   * @param parts - Keys of the blocked parts of an item that is started.
   * @returns To be told when its run ends.
   */
  start(parts: readonly string[]): RunningTrial {
    for (const part of parts)
      this.trials.set(part, {...this.trialOf(part), isRunning: true});
    return {
      end: hasCrashed => {
        for (const part of parts) this.end(part, hasCrashed);
      },
    };
  }

  private end(part: string, hasCrashed: boolean): void {
    if (!hasCrashed) {
      this.trials.delete(part);
      return;
    }
    const crashes = this.trialOf(part).crashes + 1;
    const notBefore = this.now() + crashPauseMs(crashes);
    this.trials.set(part, {isRunning: false, crashes, notBefore});
  }

  private trialOf(part: string): PartTrial {
    return this.trials.get(part) ?? NO_TRIAL;
  }
}
