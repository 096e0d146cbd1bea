/**
 * Infers where a stream began that nobody knows, if it can have begun at one
 * software version only.
 */
import {sleep, type Clock} from '@oathead/core';
import type {RecordedStreams} from './recorded_streams.js';
import type {TargetDirectory} from './target_directory.js';

/** Dependencies of {@link onlyPossible}. */
export interface InferenceContext {
  readonly clock: Clock;
  readonly directory: Pick<TargetDirectory, 'versionView'>;
  /** Reads the list of targets; returns whether it was read. */
  readonly readTargets: () => Promise<boolean>;
}

/** A stream that nobody knows. */
export interface UnknownStream {
  readonly service: string;
  /** What all hosts have recorded, read after it was taken up. */
  readonly recorded: RecordedStreams;
  /** Until when the list of targets may be read, on the monotonic clock. */
  readonly giveUpAt: number;
}

/**
 * Hosts record each version before they use it, so that the record names all
 * versions at which a stream can have begun. The list of targets, read anew, has
 * to agree: hosts of an earlier release record nothing.
 *
 * @param context - The list of targets.
 * @param stream - The stream.
 * @returns The only version at which it can have begun; undefined if there may
 *     be several.
 */
export async function onlyPossible(
  {clock, directory, readTargets}: InferenceContext,
  {service, recorded, giveUpAt}: UnknownStream,
): Promise<string | undefined> {
  const [first, ...others] = recorded.versions.get(service) ?? [];
  if (first === undefined || others.length > 0) return undefined;
  if (!(await before(clock, giveUpAt, readTargets()))) return undefined;
  const view = directory.versionView(service);
  const isSame = 'softwareVersion' in view && view.softwareVersion === first;
  return isSame ? first : undefined;
}

/**
 * @param clock - Ends the wait.
 * @param giveUpAt - Until when to wait, on the monotonic clock in milliseconds.
 * @param read - What is waited for.
 * @returns Its result; undefined if there is none by then.
 */
export function before<T>(
  clock: Clock,
  giveUpAt: number,
  read: Promise<T>,
): Promise<T | undefined> {
  const leftMs = Math.max(0, giveUpAt - clock.now());
  const timeout = sleep(clock, leftMs).then(() => undefined);
  return Promise.race([read, timeout]);
}
