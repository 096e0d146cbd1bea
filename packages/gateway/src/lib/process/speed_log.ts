/** Log line about targets that are slower or faster than their service. */
import type {EventLog, Slowness} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {TargetDirectory} from './target_directory.js';
import type {TargetSpeeds} from './target_speeds.js';

/** Maximum number of targets in a line, those that differ most. */
const MAX_LOGGED_TARGETS = 10;
const DECIMALS = 2;

interface UnlikeTarget {
  readonly target: Target;
  readonly slowness: Slowness;
}

/**
 * Writes a line for each service whose targets differ.
 *
 * @param log - Receives the lines.
 * @param speeds - Estimates by target.
 * @param directory - The known targets.
 */
export function logUnlikeTargets(
  log: EventLog,
  speeds: TargetSpeeds,
  directory: TargetDirectory,
): void {
  for (const service of speeds.knownServices) {
    const unlike = speeds.unlike(service);
    if (unlike.size === 0) continue;
    const targets = directory.ofService(service).flatMap(target => {
      const slowness = unlike.get(targetKey(target.id));
      return slowness ? [{target, slowness}] : [];
    });
    const most = targets.sort(byDifference).slice(0, MAX_LOGGED_TARGETS);
    log.event('targets-unlike', {
      service,
      targets: targets.length,
      slowness: most
        .map(({target, slowness}) => `${target.id} ${textOf(slowness)}`)
        .join(', '),
    });
  }
}

function byDifference(a: UnlikeTarget, b: UnlikeTarget): number {
  return differenceOf(b) - differenceOf(a);
}

function differenceOf({slowness}: UnlikeTarget): number {
  return Math.abs(Math.log(slowness.nearlyFull));
}

/** Slowness, and the same while the target is nearly full if that differs. */
function textOf({regular, nearlyFull}: Slowness): string {
  const texts = [regular, nearlyFull].map(value => value.toFixed(DECIMALS));
  return [...new Set(texts)].join('/');
}
