/**
 * The queues before one lane. Online and batch work never share one. A request
 * that is given up on is answered in the same call, not at its deadline.
 */
import type {AdmissionAction, AdmissionRequest} from './admission.js';
import {FairQueue} from './fair_queue.js';
import type {Queued} from './fair_queue.js';
import {notRun} from '../request/refusal.js';

/** Batch work that waited so long goes back, so that another target can try. */
const BATCH_WAIT_MS = 15_000;

/** Online, batch and suspect requests that wait for one lane. */
export class WaitingRoom {
  readonly online = new FairQueue();
  readonly batch = new FairQueue();
  private readonly suspects: Queued[] = [];

  /** Suspect requests that wait to run alone. */
  get suspectCount(): number {
    return this.suspects.length;
  }

  /** @param weights - Share of each caller; 1 where one is missing. */
  setWeights(weights: Readonly<Record<string, number>>): void {
    this.online.setWeights(weights);
    this.batch.setWeights(weights);
  }

  /**
   * @param request - What has to wait.
   * @param now - Milliseconds.
   */
  add(request: AdmissionRequest, now: number): void {
    if (request.suspect) this.suspects.push({request, since: now});
    else this[request.class].add(request, now);
  }

  /**
   * @param id - A request.
   * @returns Whether it waited; it does no more.
   */
  remove(id: string): boolean {
    const at = this.suspects.findIndex(({request}) => request.id === id);
    if (at >= 0) this.suspects.splice(at, 1);
    return at >= 0 || this.online.remove(id) || this.batch.remove(id);
  }

  /** @returns The suspect request that waited longest, left in place. */
  peekSuspect(): Queued | undefined {
    return this.suspects[0];
  }

  /** @returns The suspect request that waited longest, taken out. */
  takeSuspect(): Queued | undefined {
    return this.suspects.shift();
  }

  /**
   * @param now - Milliseconds.
   * @returns The refusals of what can no longer be in time, and batch work
   *     that is better off elsewhere.
   */
  expire(now: number): readonly AdmissionAction[] {
    const actions: AdmissionAction[] = [];
    for (const {request} of [...this.online.entries(), ...this.suspects]) {
      if (request.deadline > now) continue;
      this.remove(request.id);
      actions.push(expired(request));
    }
    for (const {request, since} of [...this.batch.entries()]) {
      if (now - since < BATCH_WAIT_MS && request.deadline > now) continue;
      this.remove(request.id);
      actions.push({kind: 'give-back', id: request.id});
    }
    this.online.compact();
    this.batch.compact();
    return actions;
  }

  /** @returns Gives back all batch work that waits. */
  giveBackBatch(): readonly AdmissionAction[] {
    const ids = [...this.batch.entries(), ...this.suspects]
      .filter(({request}) => request.class === 'batch')
      .map(({request}) => request.id);
    for (const id of ids) this.remove(id);
    return ids.map(id => ({kind: 'give-back', id}));
  }
}

function expired(request: AdmissionRequest): AdmissionAction {
  const refusal = notRun('deadline-exceeded', 'No room before the deadline.');
  return {kind: 'refuse', id: request.id, refusal};
}
