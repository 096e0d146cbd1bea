/** Which hosts may get a job. */
import type {Member} from '@oathead/gateway';

/**
 * Leaves out hosts that are shutting down, unless all are: a job that one of
 * them gets rests until its process has ended.
 *
 * @param members - Live hosts.
 * @returns Those that may get a job.
 */
export function staying(members: readonly Member[]): readonly Member[] {
  const stay = members.filter(staysOn);
  return stay.length > 0 ? stay : members;
}

/** @returns Whether a host is not shutting down. */
export function staysOn({isLeaving}: Member): boolean {
  return !isLeaving;
}
