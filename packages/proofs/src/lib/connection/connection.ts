/** One connection between two processes, with what can go wrong with it. */
import type {Clock} from '@oathead/core';
import type {Host} from '../process/host.js';

/** Which end of a connection. */
export type Side = 'near' | 'far';

/** One message, as it travels: all of it is JSON. */
export interface Frame {
  /** Names the call on this connection. */
  readonly call: number;
  readonly kind: 'ask' | 'data' | 'end' | 'error' | 'stop' | 'ping' | 'pong';
  /** The procedure, in an `ask`. */
  readonly path?: string;
  readonly body?: unknown;
}

/** What an end does with what comes. */
export interface ConnectionEnd {
  onFrame(frame: Frame): void;
  /** The other end has closed it, or died. */
  onClosed(): void;
}

/** Time on the way, in milliseconds. */
const WAY_MS = 1;

const OTHER: Readonly<Record<Side, Side>> = {near: 'far', far: 'near'};

/** A connection: frames come in order and late, or not at all. */
export class Connection {
  /** Passes nothing on any more, and no error either. */
  silent = false;
  /** Added to the way of each frame, in milliseconds. */
  delayMs: (frame: Frame, from: Side) => number = () => 0;
  /** Whether calls overtake each other; the frames of one call never do. */
  overtaking = false;
  private readonly ends: Partial<Record<Side, ConnectionEnd>> = {};
  private readonly lastArrivals = new Map<string, number>();
  private open = true;

  /**
   * @param clock - Time outside of the processes.
   * @param hosts - The processes at its ends.
   * @param onFrame - Told of each frame that is sent.
   */
  constructor(
    private readonly clock: Clock,
    readonly hosts: Readonly<Record<Side, Host>>,
    private readonly onFrame: (frame: Frame, from: Side) => void,
  ) {}

  /** Whether neither end has closed it. */
  get isOpen(): boolean {
    return this.open;
  }

  /** Sets what an end does with what comes. */
  attach(side: Side, end: ConnectionEnd): void {
    this.ends[side] = end;
  }

  /**
   * @param from - The end that sends.
   * @param frame - What it sends.
   */
  send(from: Side, frame: Frame): void {
    if (!this.open || !this.hosts[from].alive) return;
    this.onFrame(frame, from);
    const to = OTHER[from];
    const body = copy(frame);
    const arrival = this.clock.now() + WAY_MS + this.delayMs(frame, from);
    const order = this.overtaking ? `${to}/${frame.call}` : to;
    const inOrder = Math.max(arrival, this.lastArrivals.get(order) ?? 0);
    this.lastArrivals.set(order, inOrder);
    this.deliverAt(inOrder, to, () => this.ends[to]?.onFrame(body));
  }

  /**
   * Closes it, as a process that ends does.
   *
   * @param from - The end that closes.
   */
  close(from: Side): void {
    if (!this.open) return;
    this.open = false;
    const to = OTHER[from];
    const last = this.lastArrivals.get(to) ?? 0;
    const at = Math.max(this.clock.now() + WAY_MS, last);
    this.deliverAt(at, to, () => this.ends[to]?.onClosed());
  }

  private deliverAt(at: number, to: Side, deliver: () => void): void {
    this.clock.after(at - this.clock.now(), () => {
      if (!this.silent) this.hosts[to].enter(deliver);
    });
  }
}

function copy(frame: Frame): Frame {
  return JSON.parse(JSON.stringify(frame)) as Frame;
}
