/** A caller: sends requests to entries as its client library would. */
import {DisposableStore, sleep} from '@oathead/core';
import type {Refusal} from '@oathead/core';
import type {ApiRequest, ApiResponse} from '@oathead/entry';
import type {EntryProcess} from '../process/processes.js';
import type {ProofFleet} from '../process/proof_fleet.js';
import {KEYS} from '../process/proof_settings.js';

/** A request as a script writes it. */
export interface ScriptRequest {
  readonly method: string;
  readonly path: string;
  readonly query?: Readonly<Record<string, string>>;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Whose key is used; the caller's by default. */
  readonly as?: keyof typeof KEYS;
}

/** What a caller saw of one request. */
export interface Reply {
  readonly entry: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /**
   * `ended`: a whole HTTP answer; `broken`: the connection broke before; `hung`:
   * nothing more came; `left`: the caller hung up; `unreachable`: no entry took
   * the connection.
   */
  readonly end: 'ended' | 'broken' | 'hung' | 'left' | 'unreachable';
  readonly status?: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
  /** When the first part of the body came. */
  readonly firstAt?: number;
}

const WAY_MS = 3;
const GIVE_UP_MS = 60_000;

/** Hooks for steps of the request at the entry. */
export interface SendHooks {
  /** The request has reached the entry. */
  onAccept?(): void;
  /** The entry has all of the answer, and is about to send the end of it. */
  onAnswer?(): void;
}

/**
 * Sends one request.
 *
 * @param fleet - The fleet.
 * @param entry - The entry that the balancer picks.
 * @param req - The request.
 * @param signal - The caller hangs up.
 * @param hooks - Told of steps.
 * @returns What the caller saw.
 */
export async function send(
  fleet: ProofFleet,
  entry: EntryProcess,
  req: ScriptRequest,
  signal: AbortSignal = NEVER,
  hooks: SendHooks = {},
): Promise<Reply> {
  const exchange = new Exchange(fleet, entry, req, hooks);
  return exchange.run(signal);
}

const NEVER = new AbortController().signal;

class Exchange {
  private readonly sentAt: number;
  private readonly gone = new AbortController();
  private status: number | undefined;
  private headers: Readonly<Record<string, string>> = {};
  private text = '';
  private firstAt: number | undefined;

  constructor(
    private readonly fleet: ProofFleet,
    private readonly entry: EntryProcess,
    private readonly req: ScriptRequest,
    private readonly hooks: SendHooks,
  ) {
    this.sentAt = fleet.clock.now();
  }

  async run(signal: AbortSignal): Promise<Reply> {
    const {clock} = this.fleet;
    const {host} = this.entry;
    await sleep(clock, WAY_MS);
    if (!host.alive || this.entry.stopping) return this.reply('unreachable');
    const end = new Promise<Reply['end']>(resolve => {
      const pending = new DisposableStore();
      const over = (how: Reply['end']) => {
        pending[Symbol.dispose]();
        resolve(how);
      };
      pending.add(clock.after(GIVE_UP_MS, () => over('hung')));
      pending.add(onAbort(host.died, () => over('broken')));
      pending.add(onAbort(signal, () => over('left')));
      host.enter(() => void this.serve().then(() => over('ended')));
    });
    const how = await end;
    if (how !== 'ended') host.enter(() => this.gone.abort());
    return this.reply(how);
  }

  private async serve(): Promise<void> {
    this.hooks.onAccept?.();
    const res = await this.entry.entry.handle(this.apiRequest());
    if (typeof res.body === 'string') this.hooks.onAnswer?.();
    await this.onWay(() => this.head(res));
    if (typeof res.body === 'string') return;
    for await (const part of res.body) {
      if (this.gone.signal.aborted) return;
      if (part.includes('[DONE]')) this.hooks.onAnswer?.();
      await this.onWay(() => this.part(part));
    }
  }

  private apiRequest(): ApiRequest {
    const {method, path, query = {}, headers = {}, body = ''} = this.req;
    const authorization = `Bearer ${KEYS[this.req.as ?? 'caller']}`;
    const signal = this.gone.signal;
    return {
      method,
      path,
      query,
      headers: {authorization, ...headers},
      body,
      signal,
    };
  }

  /** What was sent before the entry died still arrives; what comes after not. */
  private async onWay(arrive: () => void): Promise<void> {
    const {host} = this.entry;
    if (!host.alive) return new Promise(() => {});
    arrive();
  }

  private head(res: ApiResponse): void {
    this.status = res.status;
    this.headers = res.headers;
    if (typeof res.body === 'string') this.part(res.body);
  }

  private part(text: string): void {
    this.firstAt ??= this.fleet.clock.now();
    this.text += text;
  }

  private reply(end: Reply['end']): Reply {
    const {sentAt, status, headers, text, firstAt} = this;
    return {
      entry: this.entry.id,
      sentAt,
      endedAt: this.fleet.clock.now(),
      end,
      ...(status === undefined ? {} : {status}),
      headers,
      text,
      ...(firstAt === undefined ? {} : {firstAt}),
    };
  }
}

/** @returns A disposable that stops listening. */
function onAbort(signal: AbortSignal, listener: () => void): Disposable {
  signal.addEventListener('abort', listener, {once: true});
  return {
    [Symbol.dispose]: () => signal.removeEventListener('abort', listener),
  };
}

/** @returns The refusal that a reply tells, also at the end of a stream. */
export function refusalOf(reply: Reply): Refusal | undefined {
  const line = reply.text
    .split('\n')
    .map(text => text.replace(/^data: /, ''))
    .find(text => text.startsWith('{"error"'));
  if (line === undefined) return undefined;
  return (JSON.parse(line) as {readonly error: Refusal}).error;
}

/** @returns Whether a stream ended as a finished one. */
export function isFinishedStream(reply: Reply): boolean {
  return reply.text.includes('data: [DONE]');
}

/** @returns The text that a stream of a completion carried. */
export function streamedText(reply: Reply): string {
  return reply.text
    .split('\n')
    .filter(line => line.startsWith('data: {') && !line.includes('"error"'))
    .map(line => JSON.parse(line.slice('data: '.length)) as StreamPart)
    .map(part => part.choices?.[0]?.text ?? '')
    .join('');
}

interface StreamPart {
  readonly choices?: readonly {readonly text?: string}[];
}
