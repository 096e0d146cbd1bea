/** What a link to a target process uses in place of a WebSocket. */
import {LinkLostError} from '@oathead/core';
import type {ChannelEvents, Hello, LinkChannel} from '@oathead/wire';
import type {Host} from '../process/host.js';
import type {Network} from '../process/network.js';
import {CallingEnd} from './calling_end.js';
import type {Sinks} from './calling_end.js';

const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Opens a connection and waits until the other end answers.
 *
 * @param network - Opens connections.
 * @param host - The calling process.
 * @param address - Of the target process.
 * @param events - Told what happens to the channel.
 * @returns The open channel.
 * @throws LinkLostError when the other end doesn't answer in time.
 */
export async function connectDirectly(
  network: Network,
  host: Host,
  address: string,
  events: ChannelEvents,
): Promise<LinkChannel> {
  const told = {heard: () => {}, closed: () => {}};
  const end = new CallingEnd(network.connect(host, address), host, {
    heard: () => told.heard(),
    closed: () => told.closed(),
  });
  const hello = await firstAnswer(end, host, told);
  const channel = channelOver(end, hello);
  told.heard = () => events.heard(channel);
  told.closed = () => events.broken(channel);
  return channel;
}

function firstAnswer(
  end: CallingEnd,
  host: Host,
  told: {closed: () => void},
): Promise<Hello> {
  return new Promise((resolve, reject) => {
    const giveUp = () => {
      end.close();
      reject(new LinkLostError('no answer'));
    };
    told.closed = giveUp;
    const timeout = host.clock.after(CONNECT_TIMEOUT_MS, giveUp);
    void end.ask('hello', undefined).then(hello => {
      timeout[Symbol.dispose]();
      told.closed = () => {};
      resolve(hello as Hello);
    });
  });
}

function channelOver(end: CallingEnd, hello: Hello): LinkChannel {
  return {
    hello,
    api: apiOver(end),
    get lastReceivedAt() {
      return end.lastHeardAt;
    },
    get isOpen() {
      return end.isOpen;
    },
    probe: () => end.ping(),
    [Symbol.dispose]: () => end.close(),
  };
}

/** Each procedure of the router by its name, as the tRPC client has them. */
function apiOver(end: CallingEnd): LinkChannel['api'] {
  const procedure = (path: string) => ({
    query: (input: unknown) => end.ask(path, input),
    mutate: (input: unknown) => end.ask(path, input),
    subscribe: (input: unknown, sinks: Sinks) =>
      end.subscribe(path, input, sinks),
  });
  const api = new Proxy({}, {get: (target, path) => procedure(String(path))});
  return api as unknown as LinkChannel['api'];
}
