/**
 * Decides what this host tells others of the speeds of targets, when and to
 * whom, and applies what they tell. A host alone sees too few runs at each
 * target to know its speed within seconds. This module does no network I/O.
 *
 * A report holds only the runs since the one before. One that is lost, late or
 * doubled therefore changes no estimate for long, and nothing has to be stored
 * by host.
 */
import type {Counters, Random} from '@oathead/core';
import {LRUCache} from 'lru-cache';
import {targetKey} from '../connection/load_message.js';
import {
  MAX_SPEED_ENTRIES,
  type SpeedEntry,
  type SpeedMessage,
} from '../connection/speed_message.js';
import type {Target} from '../connection/target.js';
import type {LoadPeer} from './load_reporter.js';
import type {TargetDirectory} from './target_directory.js';
import type {TargetSpeeds} from './target_speeds.js';

/** Interval between two reports, in milliseconds. */
export const SPEED_REPORT_MS = 500;
/**
 * Numbers of hosts that a report goes to, in this data centre and in others.
 * With some ten targets in each, the reports take a kilobyte and a half a
 * second.
 */
const NEAR_RECIPIENTS = 5;
const FAR_RECIPIENTS = 1;
/** Runs that are older are not told any more, in milliseconds. */
const MAX_AGE_MS = 3 * SPEED_REPORT_MS;
/** Number of hosts whose last report is remembered; exceeds any fleet. */
const MAX_REMEMBERED_HOSTS = 1000;
/** Exceeds the number of hosts of any fleet. */
const MAX_INITIAL_ROUND = 10_000;

/** A report and its recipients. */
export interface OutgoingSpeedReport<P extends LoadPeer> {
  readonly message: SpeedMessage;
  readonly peers: readonly P[];
}

/** Dependencies of {@link SpeedReporter}. */
export interface SpeedReporterContext<P extends LoadPeer> {
  readonly self: LoadPeer;
  readonly speeds: TargetSpeeds;
  readonly directory: TargetDirectory;
  readonly counters: Counters;
  readonly random: Random;
  /** Returns the monotonic time, in milliseconds. */
  readonly now: () => number;
  /** @returns The coordinator of this data centre, if it is another host. */
  readonly coordinator: () => P | undefined;
}

type Mean = Omit<SpeedEntry, 'key'>;

/** Takes some hosts of a list at a time, each in its turn. */
class Turns {
  /** @param next - Position of the first host. */
  constructor(private next: number) {}

  take<P>(hosts: readonly P[], count: number): readonly P[] {
    const start = hosts.length > 0 ? this.next % hosts.length : 0;
    const taken = [...hosts.slice(start), ...hosts.slice(0, start)].slice(
      0,
      count,
    );
    this.next += taken.length;
    return taken;
  }
}

/** Collects what this host has measured, and applies what others tell. */
export class SpeedReporter<P extends LoadPeer> {
  /** Measurements to be told, by load key and band, by service. */
  private readonly pending = new Map<string, Map<string, SpeedEntry>>();
  private readonly lastSequences = new LRUCache<string, number>({
    max: MAX_REMEMBERED_HOSTS,
  });
  private readonly keys = new WeakMap<readonly Target[], ReadonlySet<string>>();
  private sequence = 0;
  private readonly nearTurns: Turns;
  private readonly farTurns: Turns;
  private takenAt: number;

  /** @param context - This host, its measurements and the targets. */
  constructor(private readonly context: SpeedReporterContext<P>) {
    const {speeds, random, now} = context;
    this.nearTurns = new Turns(random.int(MAX_INITIAL_ROUND));
    this.farTurns = new Turns(random.int(MAX_INITIAL_ROUND));
    this.takenAt = now();
    speeds.onEvidence((target, evidence) => {
      this.collect(target.service, {key: targetKey(target.id), ...evidence});
    });
  }

  /**
   * Returns the reports that are due and forgets what they hold. To be called
   * every {@link SPEED_REPORT_MS}.
   *
   * @param peers - All live hosts except this one.
   * @returns The messages to send now.
   */
  takeDueReports(peers: readonly P[]): ReadonlyArray<OutgoingSpeedReport<P>> {
    const {now, speeds} = this.context;
    const isStale = now() - this.takenAt > MAX_AGE_MS;
    this.takenAt = now();
    const pending = [...this.pending];
    this.pending.clear();
    // This host stood still. What it has measured before may be over, and what
    // it measured when it woke up is its own delay.
    if (isStale) return [];
    const recipients = this.recipients(peers);
    if (recipients.length === 0) return [];
    return pending
      .filter(([service]) => speeds.isWorthTelling(service))
      .map(([service, entries]) => ({
        message: this.message(service, [...entries.values()]),
        peers: recipients,
      }));
  }

  /**
   * Applies a report; ignores one that came before or was overtaken by a later
   * one, and what it says of targets that are not known here.
   *
   * @param message - A report of another host.
   */
  receive({host, sequence, service, entries}: SpeedMessage): void {
    const {counters, speeds, self} = this.context;
    const isOld = sequence <= (this.lastSequences.get(host) ?? -1);
    if (isOld || host === self.id) {
      counters.count('speed_reports', {outcome: 'old'});
      return;
    }
    this.lastSequences.set(host, sequence);
    const known = this.keysOf(service);
    const usable = entries.filter(({key}) => known.has(key));
    for (const {key, ...evidence} of usable)
      speeds.addReported(service, key, evidence, host);
    const unknown = entries.length - usable.length;
    counters.count('speed_reports', {outcome: 'applied'});
    if (unknown > 0) counters.count('speed_entries_unknown', {}, unknown);
  }

  private collect(service: string, entry: SpeedEntry): void {
    let entries = this.pending.get(service);
    if (!entries) {
      entries = new Map();
      this.pending.set(service, entries);
    }
    const id = `${entry.key} ${entry.nearlyFull}`;
    const before = entries.get(id);
    if (!before && entries.size >= MAX_SPEED_ENTRIES) return;
    entries.set(id, before ? {...entry, ...mean(before, entry)} : entry);
  }

  private message(
    service: string,
    entries: readonly SpeedEntry[],
  ): SpeedMessage {
    const host = this.context.self.id;
    return {host, sequence: ++this.sequence, service, entries};
  }

  /**
   * The coordinator, which places most requests in a burst, and other hosts in
   * turn: most of them of this data centre, whose runs are at the same targets.
   */
  private recipients(peers: readonly P[]): readonly P[] {
    const {self, coordinator} = this.context;
    const first = coordinator();
    const isNear = ({dataCentre}: P) => dataCentre === self.dataCentre;
    const near = peers.filter(peer => isNear(peer) && peer !== first);
    const far = peers.filter(peer => !isNear(peer));
    const known = first ? [first] : [];
    const chosen = [
      ...known,
      ...this.nearTurns.take(near, NEAR_RECIPIENTS - known.length),
    ];
    const left = NEAR_RECIPIENTS + FAR_RECIPIENTS - chosen.length;
    return [...chosen, ...this.farTurns.take(far, left)];
  }

  private keysOf(service: string): ReadonlySet<string> {
    const targets = this.context.directory.ofService(service);
    let keys = this.keys.get(targets);
    if (!keys) {
      keys = new Set(targets.map(({id}) => targetKey(id)));
      this.keys.set(targets, keys);
    }
    return keys;
  }
}

function mean(a: Mean, b: Mean): Pick<Mean, 'logRatio' | 'count'> {
  const count = a.count + b.count;
  return {
    logRatio: (a.logRatio * a.count + b.logRatio * b.count) / count,
    count,
  };
}
