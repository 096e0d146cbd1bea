/** One entry's view of one target: heartbeats, load reports, and its state. */
import {
  DisposableStore,
  LinkLostError,
  initialTargetState,
  nextTargetState,
  repeat,
  sleep,
} from '@oathead/core';
import type {
  Clock,
  Counters,
  Heartbeat,
  HeartbeatReply,
  LoadReport,
  TargetConfig,
  TargetEvent,
  TargetState,
} from '@oathead/core';
import {createDebugLog} from '@oathead/observe';
import type {ReportingLink} from '@oathead/wire';

const log = createDebugLog('entry:targets');

/** What a connection to a target needs. */
export interface TargetConnectionOptions {
  readonly targetId: string;
  readonly entryId: string;
  readonly link: ReportingLink & Disposable;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly heartbeatMs: number;
  /** What the target is to know; undefined while it is not declared. */
  readonly cfg: () => TargetConfig | undefined;
  /** Whether the target is leaving by declaration or by the host list. */
  readonly leaving: () => boolean;
  readonly onReport: (report: LoadReport) => void;
  readonly onState: (state: TargetState) => void;
  /** Reads the token of the current holder of orders; undefined: not now. */
  readonly readOrderFence: () => Promise<number | undefined>;
  /** The target process has started anew. */
  readonly onRestart: () => void;
}

/** A connection to one target. */
export class TargetConnection implements Disposable {
  private readonly held = new DisposableStore();
  private readonly stop = new AbortController();
  private state = initialTargetState();
  private bootId: string | undefined;
  private knownRevision = 0;
  private orderFence: Heartbeat['orderFence'];
  private report: LoadReport | undefined;

  /** @param options - What the connection needs. */
  constructor(private readonly options: TargetConnectionOptions) {
    this.held.add(options.link);
    this.held.defer(() => this.stop.abort());
    this.held.add(
      repeat(options.clock, options.heartbeatMs, () => this.heartbeat()),
    );
    void this.heartbeat();
    void this.followReports();
  }

  /** The way to the target. */
  get link(): ReportingLink {
    return this.options.link;
  }

  /** The target's state as this entry sees it. */
  get targetState(): TargetState {
    return this.state;
  }

  /** The last load report. */
  get lastReport(): LoadReport | undefined {
    return this.report;
  }

  /** Follows a new configuration or host list without waiting for a heartbeat. */
  refresh(): void {
    if (this.options.leaving()) this.step({type: 'leave'});
    if (this.knownRevision < (this.options.cfg()?.revision ?? 0)) {
      void this.heartbeat();
    }
  }

  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  private async heartbeat(): Promise<void> {
    const cfg = this.options.cfg();
    const cfgRevision = cfg?.revision ?? 0;
    const stale = cfg !== undefined && this.knownRevision < cfgRevision;
    try {
      const reply = await this.options.link.heartbeat(
        {
          entryId: this.options.entryId,
          cfgRevision,
          ...(stale ? {cfg} : {}),
          ...(this.orderFence ? {orderFence: this.orderFence} : {}),
        },
        this.stop.signal,
      );
      this.replied(reply);
    } catch (err) {
      if (!(err instanceof LinkLostError)) throw err;
      if (this.stop.signal.aborted) return;
      this.options.counters.count('heartbeats_lost');
      this.step({type: 'silent'});
    }
  }

  private replied({bootId, load}: HeartbeatReply): void {
    if (this.bootId !== undefined && this.bootId !== bootId) {
      log('%s has restarted', this.options.targetId);
      this.options.onRestart();
      this.knownRevision = 0;
      this.report = undefined;
    }
    this.bootId = bootId;
    if (this.orderFence?.bootId !== bootId) void this.learnOrderFence(bootId);
    this.step({type: 'replied'});
    this.take(load);
  }

  /**
   * A target process that starts anew has forgotten whose orders it has seen.
   * It is told the current token, read after its start was known, so that the
   * order of an earlier holder is refused from then on.
   */
  private async learnOrderFence(bootId: string): Promise<void> {
    const token = await this.options.readOrderFence();
    if (token !== undefined) this.orderFence = {token, bootId};
  }

  /** Reports are pushed on change; between them heartbeats bring the load. */
  private async followReports(): Promise<void> {
    const {clock, heartbeatMs, link} = this.options;
    while (!this.stop.signal.aborted) {
      try {
        for await (const report of link.reports(this.stop.signal)) {
          this.take(report);
        }
      } catch (err) {
        if (!(err instanceof LinkLostError)) throw err;
      }
      await sleep(clock, heartbeatMs, this.stop.signal);
    }
  }

  private take(report: LoadReport): void {
    this.report = report;
    this.knownRevision = report.cfgRevision;
    const leaving = report.leaving || this.options.leaving();
    this.step({type: leaving ? 'leave' : 'stay'});
    this.options.onReport(report);
  }

  private step(event: TargetEvent): void {
    const before = this.state;
    this.state = nextTargetState(before, event);
    if (this.state === before) return;
    log('%s: %s -> %s', this.options.targetId, before, this.state);
    this.options.counters.count('target_state', {to: this.state});
    this.options.onState(this.state);
  }
}
