/**
 * Asks other hosts at which software version a stream began. This module does no
 * network I/O.
 */
import type {Clock} from '@oathead/core';
import type {
  StreamOrigin,
  StreamVersionAnswer,
  StreamVersionAsk,
} from '../connection/stream_version_message.js';
import type {LoadPeer} from './load_reporter.js';

/**
 * How long a host waits for answers, in milliseconds, and how often it asks:
 * several round trips between data centres, and datagrams may be lost.
 */
const ANSWER_TIMEOUT_MS = 80;
const MAX_ASKS = 2;

/** What the hosts that were asked have answered together. */
export interface StreamVersionAnswers {
  /** Where the stream began; undefined if none of them knows it. */
  readonly began: StreamOrigin | undefined;
  /** Whether one of them has seen several versions of the service. */
  readonly hasSeveral: boolean;
  /** IDs of the hosts that were asked. */
  readonly asked: readonly string[];
  /** Each answer, for the log. */
  readonly received: readonly StreamVersionAnswer[];
}

/** Dependencies of {@link StreamVersionAsker}. */
export interface StreamVersionAskerContext<P extends LoadPeer> {
  readonly self: LoadPeer;
  readonly clock: Clock;
  readonly send: (ask: StreamVersionAsk, to: readonly P[]) => void;
}

/** What is known if no host has answered. */
export const NO_ANSWERS: StreamVersionAnswers = {
  began: undefined,
  hasSeveral: false,
  asked: [],
  received: [],
};

type AnswerHandler = (answer: StreamVersionAnswer) => void;

/** The requests of this host that have not been answered yet. */
export class StreamVersionAsker<P extends LoadPeer = LoadPeer> {
  private readonly pending = new Map<number, AnswerHandler>();
  private askId = 0;

  /** @param context - Sends the requests. */
  constructor(private readonly context: StreamVersionAskerContext<P>) {}

  /** @param answer - An answer of another host. */
  receive(answer: StreamVersionAnswer): void {
    this.pending.get(answer.askId)?.(answer);
  }

  /**
   * @param service - Service that is to go on with the stream.
   * @param stream - ID of the stream.
   * @param hosts - The hosts to ask.
   * @returns What they have answered within the time for it. Never rejects.
   */
  async ask(
    service: string,
    stream: string,
    hosts: readonly P[],
  ): Promise<StreamVersionAnswers> {
    let all: StreamVersionAnswers = {
      ...NO_ANSWERS,
      asked: hosts.map(({id}) => id),
    };
    if (hosts.length === 0) return all;
    for (let i = 0; i < MAX_ASKS; i++) {
      const answers = await this.askOnce(service, stream, hosts);
      all = answers.reduce(withAnswer, all);
      if (all.began || answers.length === hosts.length) break;
    }
    return all;
  }

  /** Asks all at once; the first one that knows the stream ends the wait. */
  private askOnce(
    service: string,
    stream: string,
    hosts: readonly P[],
  ): Promise<readonly StreamVersionAnswer[]> {
    const {self, clock, send} = this.context;
    const askId = ++this.askId;
    return new Promise(resolve => {
      const answers: StreamVersionAnswer[] = [];
      const settle = () => {
        this.pending.delete(askId);
        timer[Symbol.dispose]();
        resolve(answers);
      };
      const timer = clock.after(ANSWER_TIMEOUT_MS, settle);
      this.pending.set(askId, answer => {
        answers.push(answer);
        if (answer.began || answers.length === hosts.length) settle();
      });
      send({kind: 'ask', host: self.id, askId, service, stream}, hosts);
    });
  }
}

function withAnswer(
  all: StreamVersionAnswers,
  answer: StreamVersionAnswer,
): StreamVersionAnswers {
  const {began, hasSeveral, received} = all;
  return {
    ...all,
    received: [...received, answer],
    began: began ?? answer.began,
    hasSeveral: hasSeveral || answer.hasSeveral === true,
  };
}
