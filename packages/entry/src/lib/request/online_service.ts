/**
 * Serves one online request: within the caller's limits, at the home of its
 * key if it has one, and otherwise straight at a target.
 */
import {LinkLostError, isFinalEvent, mayHaveRun} from '@oathead/core';
import type {Counters, ServeEvent} from '@oathead/core';
import type {Membership, Peer} from '@oathead/membership';
import type {KeyedCall, KeyedRequests} from './keyed_requests.js';
import type {Serve, ServeCall} from './online_call.js';
import {Delivered} from './splice.js';

/** Ways to the other entries. */
export interface PeerLinks {
  /**
   * Passes a keyed request on to its home.
   *
   * @throws LinkLostError when the home cannot be reached, or is lost on the
   *     way.
   */
  forward(
    peer: Peer,
    call: KeyedCall,
    signal: AbortSignal,
  ): AsyncIterable<ServeEvent>;
}

/** What serving online needs. */
export interface OnlineServiceDeps {
  readonly counters: Counters;
  readonly membership: Membership;
  readonly keyed: KeyedRequests;
  readonly peers: PeerLinks;
  readonly dispatch: Serve;
}

/** Serves online requests. */
export class OnlineService {
  /** @param deps - The ways a request can go. */
  constructor(private readonly deps: OnlineServiceDeps) {}

  /**
   * @param call - The request.
   * @param signal - Aborted when the caller has gone.
   * @returns Its events; the last one is final.
   */
  async *serve(
    call: ServeCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    let ended = false;
    for await (const event of this.route(call, signal)) {
      ended = isFinalEvent(event);
      yield event;
      if (ended) return;
    }
    // A stream that ends without a final event must not look finished.
    if (!ended) yield BROKEN;
  }

  private route(
    call: ServeCall,
    signal: AbortSignal,
  ): AsyncIterable<ServeEvent> {
    if (!isKeyed(call)) return this.deps.dispatch(call, signal);
    const home = this.homeOf(call);
    if (!home) return this.deps.keyed.serve(call, signal);
    return this.serveAt(home, call, signal);
  }

  /** @returns The entry that keeps the key, unless it is this one. */
  private homeOf(call: KeyedCall): Peer | undefined {
    const {membership} = this.deps;
    const owner = membership.ownerOf(membership.shareOf(call.dedupeKey));
    return owner?.entryId === membership.entryId ? undefined : owner;
  }

  /**
   * The home can be lost with the request in flight, or stop. Then it is served
   * here: the outcome is found again by the key, or the request runs if none has
   * run.
   */
  private async *serveAt(
    home: Peer,
    call: KeyedCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    const delivered = new Delivered();
    let unrun = false;
    try {
      for await (const event of this.deps.peers.forward(home, call, signal)) {
        if (isLeaving(event)) {
          unrun = event.refusal.ran === 'not-run';
          break;
        }
        delivered.note(event);
        yield event;
        if (isFinalEvent(event)) return;
      }
      if (signal.aborted) return;
    } catch (err) {
      if (!(err instanceof LinkLostError)) throw err;
    }
    this.deps.counters.count('keyed_homes_unreachable');
    for await (const event of delivered.rest(
      this.deps.keyed.serve(call, signal),
    )) {
      yield unrun ? event : unsure(event);
    }
  }
}

/**
 * The home that was lost may have sent the request on before it was: that it
 * was not sent from here does not make "not run" true.
 */
function unsure(event: ServeEvent): ServeEvent {
  if (event.kind !== 'refused') return event;
  return {...event, refusal: {...event.refusal, ran: 'may-have-run'}};
}

type Refused = Extract<ServeEvent, {readonly kind: 'refused'}>;

function isLeaving(event: ServeEvent): event is Refused {
  return event.kind === 'refused' && event.refusal.kind === 'leaving';
}

const BROKEN: ServeEvent = {
  kind: 'refused',
  refusal: mayHaveRun('internal', 'the stream ended without an outcome'),
};

function isKeyed(call: ServeCall): call is KeyedCall {
  return call.dedupeKey !== undefined;
}
