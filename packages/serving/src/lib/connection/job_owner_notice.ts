/** Tells the owners of jobs of heads that this host has written. */
import type {EventLog} from '@oathead/core';
import type {TellOwner} from '@oathead/jobs';
import type {VersionedRow} from '@oathead/stores';
import type {PeerClients} from './peer_clients.js';
import type {PeerClient} from './peer_router.js';

/** Dependencies of {@link createTellOwner}. */
export interface TellOwnerContext {
  /** Member ID of this host. */
  readonly self: string;
  readonly peers: Pick<PeerClients, 'clientOf'>;
  readonly log: EventLog;
  /** Applies the head of a job of this host. */
  readonly learn: (row: VersionedRow) => void;
}

/**
 * @param context - This host, its peers and its jobs.
 * @returns Tells an owner, this host or another one, without waiting.
 */
export function createTellOwner({
  self,
  peers,
  log,
  learn,
}: TellOwnerContext): TellOwner {
  return (owner, row) => {
    if (owner === self) learn(row);
    else void tell(peers.clientOf(owner), row, log);
  };
}

/** A peer that is not told learns of its job from the store. */
async function tell(
  peer: PeerClient | undefined,
  row: VersionedRow,
  log: EventLog,
): Promise<void> {
  try {
    await peer?.tellJobHead(row);
  } catch (err) {
    const error = String(err);
    log.event('job-owner-not-told', {job: row.key, to: peer?.address, error});
  }
}
