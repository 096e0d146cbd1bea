/** Asks quota owners on other hosts for verdicts, and notes who is silent. */
import type {Clock, EventLog, QuotaDemand} from '@oathead/core';
import type {HostAddress} from '../connection/host_socket.js';
import type {QuotaMessage, QuotaReply} from '../connection/quota_message.js';
import type {QuotaHost} from './account_quotas.js';

/** Dependencies of a {@link QuotaAsker}. */
export interface QuotaAskerContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly send: (message: QuotaMessage, to: HostAddress) => void;
}

/**
 * Timeout of a quota request, in milliseconds: several round trips between data
 * centres plus the queueing delay of a busy host.
 */
const REQUEST_TIMEOUT_MS = 60;
/**
 * Number of times that a quota request is sent, because datagrams may be lost.
 */
const MAX_SENDS = 3;
/** How long an unresponsive host gets no requests, in milliseconds. */
const UNRESPONSIVE_PAUSE_MS = 500;

type AnswerHandler = (answer: QuotaReply | undefined) => void;

/** Sends quota requests of one host. */
export class QuotaAsker {
  private readonly pendingAnswers = new Map<number, AnswerHandler>();
  /** Time until which a host is considered unresponsive, by host name. */
  private readonly pausedUntil = new Map<string, number>();
  private askId = 0;

  /**
   * @param self - ID of this process incarnation.
   * @param context - The clock and the transport to other hosts.
   */
  constructor(
    private readonly self: string,
    private readonly context: QuotaAskerContext,
  ) {}

  /** @param reply - A reply of another host. */
  receive(reply: QuotaReply): void {
    this.pendingAnswers.get(reply.askId)?.(reply);
  }

  /**
   * @param to - The host to ask.
   * @param account - Name of the account.
   * @param demand - The request.
   * @param reserve - Whether it is asked as the reserve keeper.
   * @returns The reply; undefined if the host does not reply, or has not
   *     replied a short time ago. Never rejects.
   */
  async ask(
    to: QuotaHost,
    account: string,
    {returning, maxWaitMs, key}: QuotaDemand,
    reserve = false,
  ): Promise<QuotaReply | undefined> {
    const {clock, send} = this.context;
    if ((this.pausedUntil.get(to.host) ?? 0) > clock.now()) return undefined;
    const request = {
      kind: 'ask',
      host: this.self,
      account,
      ...(reserve && {reserve}),
      ...(returning && {returning}),
      ...(key !== undefined && {key}),
      ...(maxWaitMs !== undefined && {
        maxWaitMs: Math.max(0, Math.floor(maxWaitMs)),
      }),
    } as const;
    for (let i = 0; i < MAX_SENDS; i++) {
      const askId = ++this.askId;
      const answered = this.awaitAnswer(askId);
      send({...request, askId}, to);
      const answer = await answered;
      if (answer) return answer;
    }
    this.pauseHost(to);
    return undefined;
  }

  private pauseHost({host}: QuotaHost): void {
    const {clock, log} = this.context;
    const until = clock.now() + UNRESPONSIVE_PAUSE_MS;
    if ((this.pausedUntil.get(host) ?? 0) <= clock.now())
      log.event('quota-host-silent', {
        silent: host,
        pauseMs: UNRESPONSIVE_PAUSE_MS,
      });
    this.pausedUntil.set(host, until);
  }

  private awaitAnswer(askId: number): Promise<QuotaReply | undefined> {
    return new Promise(resolve => {
      const settle: AnswerHandler = answer => {
        this.pendingAnswers.delete(askId);
        timer[Symbol.dispose]();
        resolve(answer);
      };
      const timer = this.context.clock.after(REQUEST_TIMEOUT_MS, () =>
        settle(undefined),
      );
      this.pendingAnswers.set(askId, settle);
    });
  }
}
