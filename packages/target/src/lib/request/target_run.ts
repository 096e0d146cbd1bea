/** One request at the target process, from its arrival to its outcome. */
import {
  initialTargetRequest,
  invariant,
  isUnseenByEngine,
  stepTargetRequest,
} from '@oathead/core';
import type {
  PartialAnswer,
  ServeOutcome,
  ServeRequest,
  TargetRequestEvent,
  TargetRequestState,
} from '@oathead/core';

/**
 * @param id - The request.
 * @param attempt - Which attempt at it.
 * @returns The name of that attempt in this process.
 */
export function runKey(id: string, attempt: number): string {
  return `${id}#${attempt}`;
}

/** A request with its tokens, outcome and followers. */
export class TargetRun {
  readonly key: string;
  /** Tokens generated here, behind those of `req.resume`. */
  private readonly texts: string[] = [];
  private readonly waiters = new Set<() => void>();
  private snapshot = initialTargetRequest();
  private ended: ServeOutcome | undefined;
  private startedVersion: string | undefined;
  private startTold = false;
  /** A new run's first follower comes just behind its arrival. */
  private followerDue = true;
  private wakeHandOver = () => {};
  private followerCount = 0;
  private grace: Disposable | undefined;
  /** Cancels the engine's part; set while the engine has it. */
  abort: AbortController | undefined;

  /** @param req - As the entry sent it. */
  constructor(readonly req: ServeRequest) {
    this.key = runKey(req.id, req.attempt);
  }

  get state(): TargetRequestState {
    return this.snapshot.value as TargetRequestState;
  }

  /** Whether no engine can have seen it. */
  get unseen(): boolean {
    return this.startedVersion === undefined;
  }

  /** The version that serves it, from its start on. */
  get version(): string | undefined {
    return this.startedVersion;
  }

  get outcome(): ServeOutcome | undefined {
    return this.ended;
  }

  /** Whether it may be cancelled at the engine and resumed there later. */
  get preemptible(): boolean {
    return this.req.idempotent && this.req.work.kind === 'completion';
  }

  /** Tokens so far, with those of `req.resume`. */
  get tokenCount(): number {
    return this.baseTokens + this.texts.length;
  }

  /** @param event - Steps the machine. */
  step(event: TargetRequestEvent): void {
    this.snapshot = stepTargetRequest(this.snapshot, event);
  }

  /**
   * Marks the start, before the engine can see the request.
   *
   * @param version - The version that is to serve it.
   */
  start(version: string): void {
    this.step({type: 'start'});
    this.startedVersion ??= version;
    this.notify();
  }

  /** A follower has been handed the `started` event. */
  startSeen(): void {
    this.startTold = true;
    this.wakeHandOver();
  }

  /**
   * Guards against a request that has run though nobody was told that it
   * started: the engine gets it only after a follower has the `started` event,
   * or when none is left to be told.
   *
   * @param signal - Ends the wait: the engine is not to see it any more.
   * @returns Resolves when the engine may see it.
   */
  async handedOver(signal: AbortSignal): Promise<void> {
    const mustWait = () => this.followerDue || this.followerCount > 0;
    while (!this.startTold && mustWait() && !signal.aborted) {
      await new Promise<void>(resolve => {
        const wake = () => {
          signal.removeEventListener('abort', wake);
          resolve();
        };
        this.wakeHandOver = wake;
        signal.addEventListener('abort', wake, {once: true});
      });
    }
  }

  /** How many follow it now. */
  get followers(): number {
    return this.followerCount;
  }

  /** @returns A disposable that ends the following. */
  follow(): Disposable {
    this.followerCount++;
    this.followerDue = false;
    this.grace?.[Symbol.dispose]();
    return {
      [Symbol.dispose]: () => {
        this.followerCount--;
        this.wakeHandOver();
      },
    };
  }

  /**
   * The last follower left with its connection.
   *
   * @param timer - What ends the run unless someone follows it again.
   */
  orphaned(timer: Disposable): void {
    this.grace = timer;
  }

  /** @param text - The next token. */
  add(text: string): void {
    this.texts.push(text);
    this.notify();
  }

  /**
   * Sets the outcome; the first one stands.
   *
   * @param outcome - How it ended.
   */
  end(outcome: ServeOutcome): void {
    if (this.ended) return;
    invariant(
      outcome.kind !== 'refused' ||
        outcome.refusal.ran !== 'not-run' ||
        isUnseenByEngine(this.state),
      `${this.key} was started and can't be refused as not run`,
    );
    this.ended = outcome;
    this.grace?.[Symbol.dispose]();
    this.step({type: 'end'});
    this.notify();
  }

  /** What was generated so far. */
  partial(): PartialAnswer {
    return {text: this.textFrom(0), tokens: this.tokenCount};
  }

  /**
   * @param index - A token of the whole answer.
   * @returns The text from that token on.
   */
  textFrom(index: number): string {
    const own = this.texts.slice(Math.max(0, index - this.baseTokens)).join('');
    return index < this.baseTokens ? this.req.resume!.text + own : own;
  }

  /**
   * @param callback - Called once, at the next change.
   * @returns A disposable that takes it back.
   */
  onceChanged(callback: () => void): Disposable {
    this.waiters.add(callback);
    return {[Symbol.dispose]: () => void this.waiters.delete(callback)};
  }

  private get baseTokens(): number {
    return this.req.resume?.tokens ?? 0;
  }

  private notify(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const wake of waiters) wake();
  }
}
