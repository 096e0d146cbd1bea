/** Creates what keeps streams at the software versions that began them. */
import type {DisposableStore} from '@oathead/core';
import {
  AnnouncedTargets,
  createStreamVersions,
  RecordedStreamsReader,
  StreamRecord,
  type HostPeer,
  type HostSocket,
  type Member,
  type StreamVersions,
  type TargetDirectory,
} from '@oathead/gateway';
import type {RowStore} from '@oathead/stores';
import type {ServingContext} from './serving_platform.js';

/**
 * Part of the writes that the store takes which may record where streams begin.
 */
const RECORD_WRITE_SHARE = 0.15;

/** Dependencies of the components. */
export interface StreamComponentsContext extends ServingContext {
  readonly self: Member;
  readonly store: Pick<RowStore, 'transact' | 'read' | 'storeTimeMs'>;
  readonly directory: TargetDirectory;
  readonly streamLifetimeMs: () => number;
  /** Number of writes that the store takes, per second. */
  readonly writesPerS: number;
  /** @returns Number of live hosts, with this one. */
  readonly hosts: () => number;
  readonly peers: () => readonly HostPeer[];
  readonly peer: (id: string) => HostPeer | undefined;
  /** Reads the list of targets; returns whether it was read. */
  readonly readTargets: () => Promise<boolean>;
  /** Called when targets have come into use later than they were listed. */
  readonly onTargetsReleased: () => void;
}

/** The components; none of them is started. */
export interface StreamComponents {
  readonly streamRecord: StreamRecord;
  readonly announcedTargets: AnnouncedTargets;
  readonly streamVersions: StreamVersions<HostPeer>;
}

/**
 * @param context - The store, the targets and the other hosts.
 * @param socket - Carries the messages between hosts.
 * @param disposables - Owns the components.
 * @returns The components.
 */
export function createStreamComponents(
  context: StreamComponentsContext,
  socket: HostSocket,
  disposables: DisposableStore,
): StreamComponents {
  const {self, directory, writesPerS, onTargetsReleased} = context;
  const streamRecord = disposables.add(
    new StreamRecord({
      ...context,
      memberId: self.id,
      maxWritesPerS: writesPerS * RECORD_WRITE_SHARE,
      listedVersions: () => directory.versions.allSeen(),
    }),
  );
  const announcedTargets = disposables.add(
    new AnnouncedTargets({
      ...context,
      record: streamRecord,
      onReleased: onTargetsReleased,
    }),
  );
  const reader = new RecordedStreamsReader(context);
  const streamVersions = disposables.add(
    createStreamVersions(socket, {
      ...context,
      record: streamRecord,
      readRecord: () => reader.read(),
    }),
  );
  return {streamRecord, announcedTargets, streamVersions};
}
