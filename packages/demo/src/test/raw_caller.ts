/** A caller that decides by itself when it sends on its one connection. */
import {SYSTEM_CLOCK, sleep} from '@oathead/core';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {DEMO_KEYS, DEMO_POOLS} from '../lib/process/local_fleet.js';

const CHECK_MS = 5;

/** One connection, and all that came over it. */
export class RawCaller implements Disposable {
  /** Everything that was received. */
  received = '';
  /** Whether the other end has closed the connection. */
  closed = false;

  private constructor(private readonly socket: Socket) {
    socket.on('data', data => (this.received += data.toString('latin1')));
    socket.on('error', () => {});
    socket.on('close', () => (this.closed = true));
  }

  /**
   * @param url - Where an entry listens.
   * @returns A caller whose connection is open and has carried no request.
   */
  static async connect(url: string): Promise<RawCaller> {
    const {hostname, port} = new URL(url);
    const socket = connect(Number(port), hostname);
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  /**
   * Sends a completion.
   *
   * @param fields - Fields of its body besides the model and the prompt.
   * @param headers - Headers besides those that each request has.
   */
  complete(
    fields: Readonly<Record<string, unknown>>,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    const {model} = DEMO_POOLS;
    this.send(
      '/v1/completions',
      {model, prompt: 'Review.', ...fields},
      headers,
    );
  }

  /**
   * Sends a `POST`.
   *
   * @param path - Where to.
   * @param body - Sent as JSON.
   * @param headers - Headers besides those that each request has.
   */
  send(
    path: string,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    const text = JSON.stringify(body);
    const all = {
      host: 'oathead',
      authorization: `Bearer ${DEMO_KEYS.caller}`,
      'content-type': 'application/json',
      'content-length': String(text.length),
      ...headers,
    };
    const lines = Object.entries(all).map(
      ([name, value]) => `${name}: ${value}`,
    );
    this.received = '';
    this.socket.write(
      `POST ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${text}`,
    );
  }

  /** Waits until `text` has come, or the connection is closed. */
  async until(text: string): Promise<void> {
    while (!this.received.includes(text) && !this.closed) await pause();
  }

  /** Waits until the other end has closed the connection. */
  async untilClosed(): Promise<void> {
    while (!this.closed) await pause();
  }

  [Symbol.dispose](): void {
    this.socket.destroy();
  }
}

function pause(): Promise<void> {
  return sleep(SYSTEM_CLOCK, CHECK_MS);
}
