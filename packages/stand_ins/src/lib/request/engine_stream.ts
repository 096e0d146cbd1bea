/** One stream of a fake engine, from the engine's side to the reader's. */
import {EngineError, type EngineEvent, type EngineRequest} from '@oathead/core';
import type {EngineText} from '../process/engine_text.js';

/** Events that were generated and not yet read. */
export class EngineStream {
  /** Tokens that this stream generated, without resumed ones. */
  tokens = 0;
  /** Whether the reader hears nothing any more. */
  silent = false;
  private readonly events: EngineEvent[] = [];
  private err: EngineError | undefined;
  private wake: (() => void) | undefined;

  /**
   * @param req - The request.
   * @param answer - What is to be generated.
   */
  constructor(
    readonly req: EngineRequest,
    readonly answer: EngineText,
  ) {}

  /** @param event - The next event. */
  push(event: EngineEvent): void {
    if (this.silent) return;
    this.events.push(event);
    this.wake?.();
  }

  /** Breaks the stream; what was generated before can still be read. */
  fail(kind: EngineError['kind'], message: string): void {
    this.err ??= new EngineError(kind, message);
    this.wake?.();
  }

  /**
   * @returns The next event, once there is one.
   * @throws EngineError when the stream is broken.
   */
  async next(): Promise<EngineEvent> {
    while (this.events.length === 0) {
      if (this.err) throw this.err;
      await new Promise<void>(resolve => (this.wake = resolve));
    }
    return this.events.shift()!;
  }
}
