/** Callers of several client accounts, some of which flood. */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import {
  FLOODING_ACCOUNTS,
  MODEST_ACCOUNT,
  type SoakAccount,
} from '../process/soak_accounts.js';
import type {SoakFleet} from '../process/soak_fleet.js';
import type {OnlineLoad} from './online_load.js';

/** Requests that one account may have open. */
const MOST_OPEN = 120;
/** Until it is looked again whether an account floods, in milliseconds. */
const IDLE_MS = 25;

/** Sends requests of several accounts while some flood, until stopped. */
export class AccountLoad {
  private readonly stopping = new AbortController();
  private readonly callers: Array<Promise<void>> = [];

  /**
   * @param fleet - Tells how many callers flood.
   * @param online - Sends and records the requests.
   */
  constructor(
    private readonly fleet: SoakFleet,
    private readonly online: Pick<OnlineLoad, 'once'>,
  ) {}

  /** Begins to ask. */
  start(): void {
    for (const account of FLOODING_ACCOUNTS)
      this.callers.push(this.ask(account, () => this.fleet.floodingCallers));
    const isFlooded = () => Math.min(this.fleet.floodingCallers, 1);
    this.callers.push(this.ask(MODEST_ACCOUNT, isFlooded));
  }

  /** Ends it; resolves when all requests have ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.callers);
  }

  private async ask(account: SoakAccount, callers: () => number) {
    const {programs} = this.fleet;
    const open = new Set<Promise<void>>();
    for (let sent = 0; !this.stopping.signal.aborted;) {
      const asking = callers();
      if (asking > 0 && open.size < MOST_OPEN) {
        const place = programs[sent++ % programs.length]!;
        const request = this.online
          .once(place, 'notes', account.key)
          .then(() => void open.delete(request));
        open.add(request);
      }
      const pauseMs = asking > 0 ? account.pauseMs / asking : IDLE_MS;
      await sleep(SYSTEM_CLOCK, pauseMs);
    }
    await Promise.all(open);
  }
}
