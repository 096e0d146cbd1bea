/**
 * Keeps targets of a software version from use until the record of streams says
 * that streams may begin there. Guards against hosts that take a version for the
 * only one although streams of lost hosts began at another.
 */
import {sleep, type Clock, type EventLog} from '@oathead/core';
import type {Target} from '../connection/target.js';
import type {StreamRecord} from './stream_record.js';
import type {TargetDirectory} from './target_directory.js';

/** Dependencies of {@link AnnouncedTargets}. */
export interface AnnouncedTargetsContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly directory: Pick<
    TargetDirectory,
    'get' | 'put' | 'remove' | 'removeEarlier' | 'hasVersion' | 'ofService'
  >;
  readonly record: Pick<StreamRecord, 'isAnnounced' | 'announce'>;
  /** Called when targets have come into use later than they were listed. */
  readonly onReleased: () => void;
}

/**
 * How long a service that has no other target waits for the record, in
 * milliseconds: some calls to the store, while callers still wait.
 */
const MAX_WAIT_MS = 1000;

type Version = Pick<Target, 'service' | 'softwareVersion'>;

/** Targets on their way to the directory. */
export class AnnouncedTargets implements Disposable {
  /** The latest entry of each server that waits, by server ID. */
  private readonly waiting = new Map<string, Target>();
  private readonly stop = new AbortController();

  /** @param context - The directory and the record. */
  constructor(private readonly context: AnnouncedTargetsContext) {}

  /** Whether a service has targets, but none of them is in use yet. */
  get hasIdleService(): boolean {
    const {directory} = this.context;
    return [...this.waiting.values()].some(
      ({service}) => directory.ofService(service).length === 0,
    );
  }

  /** @param target - A target that is new or has changed. */
  put(target: Target): void {
    const {directory, record} = this.context;
    const {service, softwareVersion} = target;
    const isInUse =
      directory.get(target.id) !== undefined ||
      directory.hasVersion(service, softwareVersion);
    if (isInUse || record.isAnnounced(target)) {
      this.waiting.delete(target.serverId);
      directory.put(target);
      return;
    }
    directory.removeEarlier(target);
    const isPending = this.waitingOf(target).length > 0;
    this.waiting.set(target.serverId, target);
    if (!isPending) void this.release(target);
  }

  /**
   * Removes a server; see {@link TargetDirectory.remove}.
   *
   * @param serverId - ID of the server.
   * @param graceMs - How long it stays in use, in milliseconds.
   */
  remove(serverId: string, graceMs: number): void {
    this.waiting.delete(serverId);
    this.context.directory.remove(serverId, graceMs);
  }

  /** Releases nothing any more. */
  [Symbol.dispose](): void {
    this.stop.abort();
  }

  /** Puts the targets of a version into use as soon as it is announced. */
  private async release({service, softwareVersion}: Version): Promise<void> {
    const {clock, record} = this.context;
    const version = {service, softwareVersion};
    const announced = record.announce(version).then(() => true);
    while (!this.stop.signal.aborted) {
      const late = sleep(clock, MAX_WAIT_MS, this.stop.signal);
      const isAnnounced = await Promise.race([
        announced,
        late.then(() => false),
      ]);
      if (isAnnounced) this.putWaiting(version);
      else this.putIfNeeded(version);
      if (this.waitingOf(version).length === 0) return;
    }
  }

  /** Without another target, the callers of the service would be refused. */
  private putIfNeeded({service}: Version): void {
    const {directory, log} = this.context;
    if (directory.ofService(service).length > 0) return;
    const waiting = [...this.waiting.values()];
    const versions = waiting.filter(target => target.service === service);
    for (const {softwareVersion} of versions) {
      const version = {service, softwareVersion};
      const targets = this.waitingOf(version).length;
      if (targets === 0) continue;
      log.event('version-unannounced', {...version, targets});
      this.putWaiting(version);
    }
  }

  private putWaiting(version: Version): void {
    const released = this.waitingOf(version);
    for (const target of released) {
      this.waiting.delete(target.serverId);
      this.context.directory.put(target);
    }
    if (released.length > 0) this.context.onReleased();
  }

  private waitingOf({service, softwareVersion}: Version): readonly Target[] {
    return [...this.waiting.values()].filter(
      target =>
        target.service === service &&
        target.softwareVersion === softwareVersion,
    );
  }
}
