/** The entry as a program: from its settings file until it is told to stop. */
import {SYSTEM_CLOCK, failure, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import {loadSettings} from '@oathead/observe';
import type {SettingsError} from '@oathead/observe';
import {HttpPlatform, MemoryPlatform} from '@oathead/stores';
import type {Platform} from '@oathead/stores';
import {ENTRY_SETTINGS} from './entry_settings.js';
import type {EntrySettings} from './entry_settings.js';
import {runEntry} from './run_entry.js';
import type {RunningEntry} from './run_entry.js';

type PlatformKind = EntrySettings['platform']['kind'];

const PLATFORMS: {
  readonly [K in PlatformKind]: (
    settings: Extract<EntrySettings['platform'], {readonly kind: K}>,
  ) => Platform;
} = {
  memory: () => new MemoryPlatform(),
  http: ({url}) => new HttpPlatform(SYSTEM_CLOCK, {baseUrls: [url]}),
};

/**
 * Runs an entry from its settings file.
 *
 * @param file - The settings file.
 * @param signal - Asks the entry to stop, with grace.
 * @param listening - Told once callers can connect.
 * @returns Success after a planned stop, or every problem of the settings;
 *     then nothing was started.
 * @throws Error when a port cannot be listened on.
 */
export async function runEntryProcess(
  file: string,
  signal: AbortSignal,
  listening: (entry: RunningEntry) => void,
): Promise<Outcome<void, SettingsError>> {
  const settings = await loadSettings(file, ENTRY_SETTINGS);
  if (!settings.ok) return failure(settings.err);
  const running = await runEntry(
    settings.value,
    createPlatform(settings.value.platform),
  );
  listening(running);
  await aborted(signal);
  await running.stop();
  return success(undefined);
}

function createPlatform(settings: EntrySettings['platform']): Platform {
  const create = PLATFORMS[settings.kind] as (
    settings: EntrySettings['platform'],
  ) => Platform;
  return create(settings);
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), {once: true});
  });
}
