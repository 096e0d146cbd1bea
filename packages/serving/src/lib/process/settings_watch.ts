/**
 * Follows a settings file while its process runs. New settings count as soon as
 * they are seen; wrong ones are told of and the last good ones stay in force.
 *
 * Guards against a file that changes without a signal, or is read while it is
 * being written: it is looked at from time to time, and what can't be read or
 * checked changes nothing.
 */
import {repeat, type Clock, type EventLog, type Outcome} from '@oathead/core';

/** How often the file is looked at, in milliseconds: a change is seen within the
 * few seconds that a change of the configuration may take. */
const LOOK_MS = 2000;

/** What a {@link SettingsWatch} needs. */
export interface SettingsWatchContext<T> {
  readonly clock: Clock;
  readonly log: EventLog;
  /** @returns The settings as the file has them now, or what is wrong. */
  readonly read: () => Outcome<T, readonly string[]>;
  /** Settings that a running process can't change; they need a new start. */
  readonly fixed: ReadonlyArray<keyof T & string>;
}

/** What made the file be read. */
export type ReloadCause = 'signal' | 'file changed';

/** Keeps the settings in force. */
export class SettingsWatch<T extends object> implements Disposable {
  private readonly looking: Disposable;
  private seen: string;

  /**
   * @param inForce - The settings that the process was started with.
   * @param context - How the file is read, and where changes are told.
   */
  constructor(
    private inForce: T,
    private readonly context: SettingsWatchContext<T>,
  ) {
    this.seen = JSON.stringify(inForce);
    this.looking = repeat(context.clock, LOOK_MS, () => this.look());
  }

  /** The settings in force. */
  get current(): T {
    return this.inForce;
  }

  /** Ends the watch. */
  [Symbol.dispose](): void {
    this.looking[Symbol.dispose]();
  }

  /** @param cause - Why the file is read now; the log says so. */
  reload(cause: ReloadCause): void {
    const {log, read, fixed} = this.context;
    const settings = read();
    if (!settings.ok) {
      this.seen = settings.err.join('\n');
      log.event('settings-rejected', {cause, problems: settings.err});
      return;
    }
    const next = settings.value;
    this.seen = JSON.stringify(next);
    const changed = changedFields(this.inForce, next);
    const needRestart = changed.filter(name => fixed.includes(name));
    this.inForce = next;
    log.event('settings-reloaded', {cause, changed, needRestart});
  }

  private look(): void {
    const settings = this.context.read();
    const found = settings.ok
      ? JSON.stringify(settings.value)
      : settings.err.join('\n');
    if (found !== this.seen) this.reload('file changed');
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
