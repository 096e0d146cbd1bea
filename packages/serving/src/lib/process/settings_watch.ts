/**
 * Reloads a settings file while the process runs. Valid settings take effect as
 * soon as they are read; invalid ones are logged, and the last valid settings
 * stay in effect.
 *
 * Guards against a file that changes without a signal or is read while it is
 * being written: the file is polled, and content that cannot be read or
 * validated changes nothing.
 */
import {repeat, type Clock, type EventLog, type Outcome} from '@oathead/core';

/**
 * Polling interval of the file, in milliseconds: short enough for a change to
 * take effect within the few seconds allowed for configuration changes.
 */
const POLL_INTERVAL_MS = 2000;

/** Dependencies of a {@link SettingsWatch}. */
export interface SettingsWatchContext<T> {
  readonly clock: Clock;
  readonly log: EventLog;
  /** @returns The current settings of the file, or the problems found in it. */
  readonly read: () => Outcome<T, readonly string[]>;
  /** Settings that only take effect after a restart. */
  readonly fixed: ReadonlyArray<keyof T & string>;
}

/** Reason for reading the file. */
export type ReloadCause = 'signal' | 'file changed';

/** Holds the settings in effect and keeps them up to date. */
export class SettingsWatch<T extends object> implements Disposable {
  private readonly pollTimer: Disposable;
  private lastSeen: string;

  /**
   * @param inForce - Settings that the process was started with.
   * @param context - Reader of the file, clock and log.
   */
  constructor(
    private inForce: T,
    private readonly context: SettingsWatchContext<T>,
  ) {
    this.lastSeen = JSON.stringify(inForce);
    this.pollTimer = repeat(context.clock, POLL_INTERVAL_MS, () => this.poll());
  }

  /** The settings in effect. */
  get current(): T {
    return this.inForce;
  }

  /** Stops polling. */
  [Symbol.dispose](): void {
    this.pollTimer[Symbol.dispose]();
  }

  /**
   * Reads the file and applies its settings if they are valid.
   *
   * @param cause - Reason for reading the file; it is logged.
   */
  reload(cause: ReloadCause): void {
    const {log, read, fixed} = this.context;
    const settings = read();
    if (!settings.ok) {
      this.lastSeen = settings.err.join('\n');
      log.event('settings-rejected', {cause, problems: settings.err});
      return;
    }
    const next = settings.value;
    this.lastSeen = JSON.stringify(next);
    const changed = changedFields(this.inForce, next);
    const needRestart = changed.filter(name => fixed.includes(name));
    this.inForce = next;
    log.event('settings-reloaded', {cause, changed, needRestart});
  }

  private poll(): void {
    const settings = this.context.read();
    const found = settings.ok
      ? JSON.stringify(settings.value)
      : settings.err.join('\n');
    if (found !== this.lastSeen) this.reload('file changed');
  }
}

function changedFields<T extends object>(
  before: T,
  after: T,
): ReadonlyArray<keyof T & string> {
  const names = Object.keys({...before, ...after}) as Array<keyof T & string>;
  return names.filter(
    name => JSON.stringify(before[name]) !== JSON.stringify(after[name]),
  );
}
