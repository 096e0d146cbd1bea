/**
 * The queues of one scheduler. Online and batch work never share a queue. A
 * request that is dropped from a queue is answered in the same call, not at its
 * deadline.
 */
import type {AdmissionAction, AdmissionRequest} from './admission.js';
import {FairQueue} from './fair_queue.js';
import type {QueuedRequest} from './fair_queue.js';
import {notRun} from '../request/refusal.js';

/**
 * Time in the queue after which a batch request is returned to the entry
 * process that sent it, so that another target can run it.
 */
const MAX_BATCH_WAIT_MS = 15_000;

/** The queued online, batch and suspect requests of one scheduler. */
export class SchedulerQueues {
  readonly online = new FairQueue();
  readonly batch = new FairQueue();
  private readonly suspects: QueuedRequest[] = [];

  /** Number of queued suspect requests, which have to run alone. */
  get suspectCount(): number {
    return this.suspects.length;
  }

  /** @param weights - Weight by caller; the default is 1. */
  setWeights(weights: Readonly<Record<string, number>>): void {
    this.online.setWeights(weights);
    this.batch.setWeights(weights);
  }

  /**
   * @param request - The request to queue.
   * @param now - Time in milliseconds.
   */
  add(request: AdmissionRequest, now: number): void {
    if (request.suspect) this.suspects.push({request, since: now});
    else this[request.class].add(request, now);
  }

  /**
   * @param id - The ID of the request to remove.
   * @returns Whether the request was queued.
   */
  remove(id: string): boolean {
    const at = this.suspects.findIndex(({request}) => request.id === id);
    if (at >= 0) this.suspects.splice(at, 1);
    return at >= 0 || this.online.remove(id) || this.batch.remove(id);
  }

  /** @returns The oldest suspect request, without removing it. */
  peekSuspect(): QueuedRequest | undefined {
    return this.suspects[0];
  }

  /** @returns The oldest suspect request, after removing it. */
  takeSuspect(): QueuedRequest | undefined {
    return this.suspects.shift();
  }

  /**
   * Removes requests that are past their deadline or have waited too long.
   *
   * @param now - Time in milliseconds.
   * @returns Refusals of expired online and suspect requests, and the return of
   *     batch requests that another target may run sooner.
   */
  expire(now: number): readonly AdmissionAction[] {
    const actions: AdmissionAction[] = [];
    for (const {request} of [...this.online.entries(), ...this.suspects]) {
      if (request.deadline > now) continue;
      this.remove(request.id);
      actions.push(deadlineRefusal(request));
    }
    for (const {request, since} of [...this.batch.entries()]) {
      if (now - since < MAX_BATCH_WAIT_MS && request.deadline > now) continue;
      this.remove(request.id);
      actions.push({kind: 'give-back', id: request.id});
    }
    this.online.compact();
    this.batch.compact();
    return actions;
  }

  /**
   * Removes all queued batch requests, including suspects.
   *
   * @returns The actions that return them to the entry processes.
   */
  returnBatch(): readonly AdmissionAction[] {
    const ids = [...this.batch.entries(), ...this.suspects]
      .filter(({request}) => request.class === 'batch')
      .map(({request}) => request.id);
    for (const id of ids) this.remove(id);
    return ids.map(id => ({kind: 'give-back', id}));
  }
}

function deadlineRefusal(request: AdmissionRequest): AdmissionAction {
  const refusal = notRun('deadline-exceeded', 'No room before the deadline.');
  return {kind: 'refuse', id: request.id, refusal};
}
