/** Small fakes at the interfaces of an entry. */
import {LinkLostError, isFinalEvent, notRun} from '@oathead/core';
import type {ServeEvent, ServeOutcome, ServeRequest, Work} from '@oathead/core';
import type {Membership, Peer} from '@oathead/membership';
import type {ReportingLink} from '@oathead/wire';
import type {Attempt, Fleet, TargetQuery} from '../lib/connection/fleet.js';
import type {ServeCall} from '../lib/request/online_call.js';

/** Work of a model. */
export const WORK: Work = {
  kind: 'completion',
  model: 'review-llm',
  input: {kind: 'prompt', prompt: 'Review file 7.'},
  maxTokens: 8,
};

/** An answer to {@link WORK}. */
export const DONE: ServeOutcome = {
  kind: 'done',
  answer: {
    kind: 'completion',
    text: 'ab',
    usage: {promptTokens: 4, completionTokens: 2},
    finishReason: 'stop',
    version: 'v1',
  },
};

/** @returns A call with what a test cares about. */
export function serveCall(fields: Partial<ServeCall> = {}): ServeCall {
  return {
    id: 'r1',
    caller: 'bank-a',
    class: 'online',
    work: WORK,
    idempotent: true,
    deadline: 10_000,
    stream: true,
    ...fields,
  };
}

/** What one target does with a request: events, or the loss of its link. */
export type Script = readonly (ServeEvent | 'lost' | 'hang')[];

/** A fleet whose targets follow scripts, one for each attempt. */
export class ScriptedFleet implements Fleet {
  readonly requests: ServeRequest[] = [];
  readonly queries: TargetQuery[] = [];

  constructor(private readonly scripts: readonly Script[]) {}

  begin(query: TargetQuery): Attempt | undefined {
    const script = this.scripts[this.queries.length];
    this.queries.push(query);
    if (!script) return undefined;
    const serve = (req: ServeRequest, signal: AbortSignal) => {
      this.requests.push(req);
      return play(script, signal);
    };
    return {
      targetId: `t${this.queries.length}`,
      link: {serve} as unknown as ReportingLink,
      firstToken: () => {},
      ended: () => {},
    };
  }
}

async function* play(
  script: Script,
  signal: AbortSignal,
): AsyncGenerator<ServeEvent> {
  for (const step of script) {
    if (step === 'lost') throw new LinkLostError('lost');
    if (step === 'hang') {
      await new Promise<void>(resolve => {
        signal.addEventListener('abort', () => resolve(), {once: true});
      });
      return;
    }
    yield step;
  }
}

/** @returns All events of a request, without those of progress as a promise. */
export async function allOf(
  events: AsyncIterable<ServeEvent>,
): Promise<readonly ServeEvent[]> {
  const all: ServeEvent[] = [];
  for await (const event of events) all.push(event);
  return all;
}

/** @returns How a request ended, in a word or two. */
export function endText(events: readonly ServeEvent[]): string {
  const last = events.at(-1);
  if (!last || !isFinalEvent(last)) return 'no end';
  if (last.kind !== 'refused') return last.kind;
  return `${last.refusal.kind} ${last.refusal.ran}`;
}

/** @returns A refusal as not run. */
export function overloaded(): ServeEvent {
  return {kind: 'refused', refusal: notRun('overloaded', 'full', 100)};
}

/** @returns Tokens from `index` on, one a character. */
export function tokens(index: number, text: string): ServeEvent {
  return {kind: 'tokens', index, count: text.length, text};
}

/** A fleet of entries in which one owns every share. */
export class OneOwner implements Partial<Membership> {
  readonly shareCount = 1;
  owner: string;
  private readonly takenCallbacks: Parameters<Membership['onAcquired']>[0][] =
    [];

  constructor(
    readonly entryId: string,
    owner = entryId,
  ) {
    this.owner = owner;
  }

  shareOf(): number {
    return 0;
  }

  ownerOf(): Peer {
    return {
      entryId: this.owner,
      address: `${this.owner}:1`,
      dataCentre: 'hall-a',
      leaving: false,
    };
  }

  held() {
    return this.owner === this.entryId ? [{share: 0, epoch: 1}] : [];
  }

  fence() {
    return this.owner === this.entryId
      ? {key: 'share/0', version: 0}
      : undefined;
  }

  onAcquired(callback: Parameters<Membership['onAcquired']>[0]): Disposable {
    this.takenCallbacks.push(callback);
    return {[Symbol.dispose]: () => {}};
  }

  onLost(): Disposable {
    return {[Symbol.dispose]: () => {}};
  }

  /** The share becomes this entry's. */
  take(): void {
    this.owner = this.entryId;
    for (const callback of this.takenCallbacks) callback({share: 0, epoch: 2});
  }
}
