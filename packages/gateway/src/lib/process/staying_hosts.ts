/** Which hosts are relied on for longer than they may have left. */
import type {Member} from './member.js';

/**
 * Leaves out hosts that are shutting down, unless all are: a job that one of
 * them gets rests until its process has ended, and a call that is open then gets
 * no answer.
 *
 * @param members - Live hosts.
 * @returns Those that may get a job or a call.
 */
export function staying(members: readonly Member[]): readonly Member[] {
  const stay = members.filter(staysOn);
  return stay.length > 0 ? stay : members;
}

/** @returns Whether a host is not shutting down. */
export function staysOn({isLeaving}: Member): boolean {
  return !isLeaving;
}
