/** A subscription to load reports on a link. */
import type {LinkLostError, LoadReport} from '@oathead/core';
import {applyChange} from '../process/load_change.js';
import type {LoadChange} from '../process/load_change.js';
import type {Channel} from './channel.js';
import {EventQueue} from './event_queue.js';
import type {LinkCall} from './link_call.js';

/** Puts reports together from their changes, over one channel after another. */
export class ReportCall implements LinkCall {
  private readonly queue = new EventQueue<LoadReport>();
  private subscription: {unsubscribe(): void} | undefined;
  private current: Channel | undefined;

  /** @returns The reports, in order. @throws LinkLostError */
  reports(): AsyncGenerator<LoadReport, void, undefined> {
    return this.queue.read();
  }

  use(channel: Channel): void {
    this.current = channel;
    let last: LoadReport | undefined;
    this.subscription = channel.api.reports.subscribe(undefined, {
      onData: (change: LoadChange) => {
        if (channel !== this.current) return;
        last = applyChange(last, change);
        this.queue.push(last);
      },
    });
  }

  fail(err: LinkLostError): void {
    this.queue.end(err);
  }

  /** Ends the reports. */
  cancel(): void {
    if (this.current?.isOpen) this.subscription?.unsubscribe();
    this.queue.end();
  }
}
