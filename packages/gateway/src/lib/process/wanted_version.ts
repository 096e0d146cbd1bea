/** Restricts a search to targets of one software version. */
import type {WaitDemand} from '@oathead/core';
import type {Target} from '../connection/target.js';

/** The version that a target must have, if any. */
export type WantedVersion = Pick<WaitDemand, 'softwareVersion'>;

/** Any version will do. */
export const ANY_VERSION: WantedVersion = {};

/**
 * @param target - A target.
 * @param wanted - The version that it must have, if any.
 * @returns Whether it has that version.
 */
export function hasWantedVersion(
  target: Pick<Target, 'softwareVersion'>,
  {softwareVersion}: WantedVersion,
): boolean {
  return (
    softwareVersion === undefined || target.softwareVersion === softwareVersion
  );
}
