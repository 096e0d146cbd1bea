/**
 * Requests with an `Idempotency-Key`: one outcome for each key, whichever entry
 * a resend reaches and whenever it comes.
 *
 * Each key belongs to a share of work and so to one entry at a time, its home;
 * other entries pass the request on to it. While a home cannot be reached, any
 * entry serves in its place: targets keep the outcomes of keys too, the
 * candidates for a key are the same two targets for everyone, and the claim of
 * a non-idempotent request is a row of the table.
 */
import {isFinalEvent, mayHaveRun, notRun, workFingerprint} from '@oathead/core';
import type {
  Clock,
  Counters,
  Refusal,
  ServeEvent,
  ServeOutcome,
} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {AnswerStore} from '../process/answer_store.js';
import type {ClaimStore} from '../process/claim_store.js';
import {EventLog} from './event_log.js';
import type {KeyedAnswer} from './keyed_answer.js';
import type {Serve, ServeCall} from './online_call.js';

/** A request with its key. */
export interface KeyedCall extends ServeCall {
  /** `caller/key`. */
  readonly dedupeKey: string;
}

/** What keyed requests need. */
export interface KeyedRequestsDeps {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly claims: ClaimStore;
  readonly membership: Membership;
  readonly answers: AnswerStore;
  /** Serves a request at a target. */
  readonly dispatch: Serve;
  /** Asks targets for the outcomes of keys that they remember. */
  readonly recall: {
    /** @returns Undefined when no target that the key prefers knows it. */
    ofCall(call: KeyedCall): Promise<KeyedAnswer | undefined>;
    /** @returns The same for a key whose work is not known. */
    ofKey(dedupeKey: string): Promise<KeyedAnswer | undefined>;
  };
}

interface Running {
  readonly work: string;
  readonly log: EventLog;
}

/** How long a resend may meet a home that does not know all answers yet. */
const RECOVERY_MS = 60_000;
const STORE_RETRY_MS = 2000;

/** Serves keyed requests at their home, or in place of it. */
export class KeyedRequests {
  private readonly running = new Map<string, Running>();
  /** Until when a share may miss answers that its last owner gave. */
  private readonly recovering = new Map<number, number>();

  /** @param deps - Stores, clock and the way to the targets. */
  constructor(private readonly deps: KeyedRequestsDeps) {
    const {membership, answers, clock} = deps;
    membership.onAcquired(({share}) => {
      this.recovering.set(share, clock.now() + RECOVERY_MS);
    });
    // A lease that ran out in an outage of the store leaves the share here:
    // nobody can take it over without the store either.
    membership.onLost(({share}) => {
      if (!this.isHome(share)) answers.indexes.drop(share);
    });
  }

  /** Keyed requests that run now. */
  get runningCount(): number {
    return this.running.size;
  }

  /**
   * Serves a request here, as its home or in place of it.
   *
   * @param call - The request.
   * @param signal - Aborted when the caller has gone. The request goes on
   *     while another caller waits for the same key.
   * @returns Its events, from the first also for a resend.
   */
  async *serve(
    call: KeyedCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    const work = workFingerprint(call.work);
    const running = this.running.get(call.dedupeKey);
    if (running) {
      yield* this.attach(running, work, call, signal);
      return;
    }
    // Set before the first wait, so that two resends at the same time meet.
    const log = new EventLog();
    this.running.set(call.dedupeKey, {work, log});
    void this.run(call, work, log);
    yield* log.read(signal);
  }

  /**
   * @param dedupeKey - `caller/key`.
   * @returns The outcome of a key, where it has one that is kept.
   */
  async find(dedupeKey: string): Promise<ServeOutcome | undefined> {
    const {answers, membership} = this.deps;
    const share = membership.shareOf(dedupeKey);
    if (!answers.indexes.loaded(share)) await answers.indexes.load(share);
    let found = await answers.find(dedupeKey);
    if (found.ok && !found.value) {
      // Another entry, that could not reach this one, may have served the key
      // in its place; its rows are not in the index as it was read.
      await answers.indexes.load(share);
      found = await answers.find(dedupeKey);
    }
    if (!this.isHome(share)) answers.indexes.drop(share);
    if (!found.ok) return refused(storeUnavailable());
    return (found.value ?? (await this.recalled(dedupeKey)))?.outcome;
  }

  /** The last home of a key can be lost with answers that it had not written. */
  private async recalled(dedupeKey: string): Promise<KeyedAnswer | undefined> {
    const share = this.deps.membership.shareOf(dedupeKey);
    if (!this.isRecovering(share)) return undefined;
    const recalled = await this.deps.recall.ofKey(dedupeKey);
    // The end of a request that may be sent again is no answer to keep.
    if (recalled?.outcome.kind !== 'done') return undefined;
    this.deps.answers.add(recalled);
    return recalled;
  }

  private async *attach(
    running: Running,
    work: string,
    call: KeyedCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    if (running.work !== work) {
      yield refused(keyConflict());
      return;
    }
    this.deps.counters.count('keyed_resends', {met: 'running'});
    yield* running.log.read(signal);
  }

  /**
   * Runs a request to its end, also when its caller has gone: the caller sends
   * it again, perhaps elsewhere, and must get this outcome. The deadline bounds
   * it.
   */
  private async run(
    call: KeyedCall,
    work: string,
    log: EventLog,
  ): Promise<void> {
    try {
      const known = await this.known(call, work);
      if (known) log.push(known);
      else await this.runNew(call, work, log);
    } finally {
      if (!log.outcome) log.push(refused(mayHaveRun('internal', 'no outcome')));
      this.running.delete(call.dedupeKey);
    }
  }

  /** @returns The outcome that a resend gets, or undefined for a new key. */
  private async known(
    call: KeyedCall,
    work: string,
  ): Promise<ServeOutcome | undefined> {
    const share = this.deps.membership.shareOf(call.dedupeKey);
    const recovering = this.isRecovering(share);
    if (!recovering && this.deps.answers.indexes.loaded(share)) {
      return this.kept(call, work);
    }
    return this.lookUp(call, work);
  }

  private async kept(
    call: KeyedCall,
    work: string,
  ): Promise<ServeOutcome | undefined> {
    const found = await this.deps.answers.find(call.dedupeKey);
    if (!found.ok) return refused(storeUnavailable());
    return found.value && this.resent(found.value, work);
  }

  /**
   * The last home of a key can be lost, or out of reach, with answers that it
   * gave and that are not in the index as this entry read it: the index is read
   * again, then the targets are asked.
   */
  private async lookUp(
    call: KeyedCall,
    work: string,
  ): Promise<ServeOutcome | undefined> {
    const {answers, membership} = this.deps;
    const share = membership.shareOf(call.dedupeKey);
    const loaded = await answers.indexes.load(share);
    // Without the index, a key that was answered long ago would look new.
    if (!loaded.ok && !answers.indexes.loaded(share))
      return refused(storeUnavailable());
    const kept = await this.kept(call, work);
    if (!this.isHome(share)) answers.indexes.drop(share);
    if (kept) return kept;
    const recalled = await this.deps.recall.ofCall(call);
    if (!recalled) return undefined;
    const {outcome} = recalled;
    // What has not run may be tried again.
    if (!mayStand(outcome, call.idempotent)) return undefined;
    if (recalled.work === work) answers.add(recalled);
    return this.resent(recalled, work);
  }

  private isHome(share: number): boolean {
    const {membership} = this.deps;
    return membership.ownerOf(share)?.entryId === membership.entryId;
  }

  /**
   * @param share - A share.
   * @returns Whether answers of it may be held by targets alone: its home is
   *     another entry, or was until a short while ago.
   */
  isRecovering(share: number): boolean {
    if (!this.isHome(share)) return true;
    const until = this.recovering.get(share);
    if (until === undefined) return false;
    if (this.deps.clock.now() < until) return true;
    this.recovering.delete(share);
    return false;
  }

  private resent(answer: KeyedAnswer, work: string): ServeOutcome {
    if (answer.work !== work) return refused(keyConflict());
    this.deps.counters.count('keyed_resends', {met: 'answered'});
    return answer.outcome;
  }

  private async runNew(
    call: KeyedCall,
    work: string,
    log: EventLog,
  ): Promise<void> {
    if (this.deps.answers.full) {
      log.push(refused(storeUnavailable()));
      return;
    }
    const refusal = call.idempotent ? undefined : await this.claim(call, work);
    if (refusal) {
      log.push(refusal);
      return;
    }
    for await (const event of this.deps.dispatch(call, NEVER)) {
      if (isFinalEvent(event)) this.record(call, work, event);
      log.push(event);
    }
    if (!call.idempotent) await this.releaseUnsent(call, log.outcome);
  }

  private record(call: KeyedCall, work: string, outcome: ServeOutcome): void {
    if (!mayStand(outcome, call.idempotent)) return;
    this.deps.answers.add({key: call.dedupeKey, work, outcome});
  }

  /** @returns The outcome that stands in the way, or undefined. */
  private async claim(
    call: KeyedCall,
    work: string,
  ): Promise<ServeOutcome | undefined> {
    const claimed = await this.deps.claims.claim(call.dedupeKey, work);
    if (claimed === 'claimed') return undefined;
    if (claimed === 'unavailable') return refused(storeUnavailable());
    this.deps.counters.count('keyed_resends', {met: 'claimed'});
    const known = await this.lookUp(call, work);
    return known ?? refused(outcomeUnknown());
  }

  /** A claim whose request was not sent would turn every resend away. */
  private async releaseUnsent(
    call: KeyedCall,
    outcome: ServeOutcome | undefined,
  ): Promise<void> {
    if (outcome?.kind !== 'refused') return;
    if (outcome.refusal.ran !== 'not-run') return;
    await this.deps.claims.release(call.dedupeKey);
  }
}

/** Keyed requests run to their end whether or not their callers stay. */
const NEVER = new AbortController().signal;

/**
 * @returns Whether an outcome is the key's outcome for good. What did not run
 *     may be sent again; so may what is idempotent and may have run.
 */
function mayStand(outcome: ServeOutcome, idempotent: boolean): boolean {
  if (outcome.kind === 'done') return true;
  if (outcome.kind !== 'refused') return false;
  return outcome.refusal.ran === 'may-have-run' && !idempotent;
}

function refused(refusal: Refusal): ServeOutcome {
  return {kind: 'refused', refusal};
}

function keyConflict(): Refusal {
  return notRun('key-conflict', 'the key was used for another request');
}

function outcomeUnknown(): Refusal {
  return mayHaveRun(
    'outcome-unknown',
    'it was sent before; its end is not known',
  );
}

function storeUnavailable(): Refusal {
  return notRun(
    'store-unavailable',
    'the store that keeps answers cannot be reached',
    STORE_RETRY_MS,
  );
}
