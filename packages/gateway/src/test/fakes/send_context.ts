/** Dependencies for sending requests to targets in tests. */
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  SYSTEM_CLOCK,
  type Counters,
} from '@oathead/core';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';
import type {ConnectionTimeouts} from '../../lib/connection/target_connection.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {ServiceHealth} from '../../lib/process/service_health.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {TargetSuspensions} from '../../lib/process/target_suspensions.js';
import type {SendContext} from '../../lib/request/target_send.js';
import {PROTOCOL} from './raw_target.js';

/** Long enough for a busy machine, on which the defaults can pass. */
export const PATIENT_TIMEOUTS: ConnectionTimeouts = {
  connectMs: 10_000,
  idleMs: 10_000,
  idleMarginMs: 0,
};

/**
 * @param counters - Counters of the process; discarded by default.
 * @returns The parts of one process that send requests, without any targets.
 */
export function newSendContext(counters: Counters = NO_COUNTERS): SendContext {
  const clock = SYSTEM_CLOCK;
  const directory = new TargetDirectory({clock, log: NO_EVENT_LOG});
  const random = seededRandom(1);
  const hosts = () => 1;
  return {
    protocol: PROTOCOL,
    pool: new ConnectionPool(counters, PATIENT_TIMEOUTS),
    loads: new LoadTable(() => clock.now()),
    suspensions: new TargetSuspensions(clock, NO_EVENT_LOG),
    health: new ServiceHealth(clock),
    directory,
    overload: new ServiceOverload({clock, random, directory, hosts}),
    clock,
    counters,
    log: NO_EVENT_LOG,
  };
}
