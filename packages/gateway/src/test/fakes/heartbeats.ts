/** Heartbeats of other hosts, as a membership reads them from the store. */
import {NO_EVENT_LOG, SYSTEM_CLOCK, type EventLog} from '@oathead/core';
import {encodeJson, MemoryRowStore, type VersionedRow} from '@oathead/stores';
import {MEMBER_TABLE, memberId, type Member} from '../../lib/process/member.js';
import {Membership} from '../../lib/process/membership.js';

const IP = '127.0.0.1';
let version = 0;

/**
 * @param host - Name of a host.
 * @param nonce - Distinguishes its incarnations.
 * @param optional - Parts of the member that it may lack.
 * @returns An incarnation of the host.
 */
export function incarnation(
  host: string,
  nonce: string,
  optional: Partial<Member> = {},
): Member {
  const id = memberId(host, nonce);
  const addresses = {ip: IP, loadPort: 1, controlAddress: `${IP}:2`};
  return {id, host, dataCentre: 'a', ...addresses, ...optional};
}

/** @returns Row that the member writes as a heartbeat. */
export function heartbeat(from: Member): VersionedRow {
  const value = encodeJson(from);
  const {host: key} = from;
  return {table: MEMBER_TABLE, partition: '', key, value, version: ++version};
}

/** @returns What a host that has just started knows. */
export function newMembership(log: EventLog = NO_EVENT_LOG): Membership {
  return new Membership(incarnation('me', '1'), {
    store: new MemoryRowStore(SYSTEM_CLOCK),
    clock: SYSTEM_CLOCK,
    log,
  });
}

/**
 * @returns Function that applies heartbeats read at a store time, in seconds.
 */
export function feed(members: Membership) {
  return (seconds: number, ...from: readonly Member[]) =>
    members.update({
      put: from.map(heartbeat),
      removed: [],
      storeTimeMs: seconds * 1000,
    });
}
