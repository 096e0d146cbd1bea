/** Carries what hosts tell each other of the speeds of targets. */
import {
  DisposableStore,
  repeat,
  type Clock,
  type EventLog,
} from '@oathead/core';
import {logUnlikeTargets} from '../process/speed_log.js';
import {
  SPEED_REPORT_MS,
  SpeedReporter,
  type SpeedReporterContext,
} from '../process/speed_reporter.js';
import type {HostSocket} from './host_socket.js';
import type {HostPeer} from './load_exchange.js';
import {decodeSpeeds, encodeSpeeds, SPEED_FORMAT} from './speed_message.js';

/** Interval of the log line about unlike targets, in milliseconds. */
const LOG_INTERVAL_MS = 5000;

/** Dependencies of a {@link SpeedExchange}. */
export interface SpeedExchangeContext extends Omit<
  SpeedReporterContext<HostPeer>,
  'now'
> {
  readonly socket: HostSocket;
  readonly clock: Clock;
  readonly log: EventLog;
  /** The hosts to report to, without this one. */
  readonly peers: () => readonly HostPeer[];
}

/** Sends and receives reports of speeds until disposed. */
export class SpeedExchange implements Disposable {
  private readonly reporter: SpeedReporter<HostPeer>;
  private readonly disposables = new DisposableStore();

  /** @param context - The speeds, the socket and the peers. */
  constructor(private readonly context: SpeedExchangeContext) {
    const {clock, socket} = context;
    this.reporter = new SpeedReporter({...context, now: () => clock.now()});
    socket.setHandler(SPEED_FORMAT, datagram => this.receive(datagram));
  }

  /** Starts to report periodically. */
  start(): void {
    const {clock, log, speeds, directory} = this.context;
    this.disposables.add(repeat(clock, SPEED_REPORT_MS, () => this.tick()));
    this.disposables.add(
      repeat(clock, LOG_INTERVAL_MS, () =>
        logUnlikeTargets(log, speeds, directory),
      ),
    );
  }

  /** Stops sending. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  private tick(): void {
    const {socket, peers} = this.context;
    for (const report of this.reporter.takeDueReports(peers()))
      socket.send(encodeSpeeds(report.message), report.peers, 'speeds');
  }

  private receive(datagram: Uint8Array): boolean {
    const message = decodeSpeeds(datagram);
    if (message) this.reporter.receive(message);
    else this.context.counters.count('speed_reports', {outcome: 'unreadable'});
    return message !== undefined;
  }
}
