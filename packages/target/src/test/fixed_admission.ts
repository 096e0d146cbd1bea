/** A simple policy for tests: a fixed capacity, online before batch. */
import type {
  Admission,
  AdmissionAction,
  AdmissionEvent,
  AdmissionLoad,
  AdmissionRequest,
} from '@oathead/core';

type EventOf<K extends AdmissionEvent['kind']> = Extract<
  AdmissionEvent,
  {readonly kind: K}
>;

/** Runs up to `capacity` requests; an online arrival preempts the newest batch. */
export class FixedAdmission implements Admission {
  private readonly waiting: AdmissionRequest[] = [];
  private readonly running: AdmissionRequest[] = [];
  private readonly preempting = new Set<string>();
  private isLeaving = false;

  private readonly handlers: {
    readonly [K in AdmissionEvent['kind']]?: (
      event: EventOf<K>,
    ) => AdmissionAction[];
  } = {
    arrived: ({request}) => {
      this.waiting.push(request);
      return [...this.makeRoom(request), ...this.fill()];
    },
    ended: ({id}) => {
      const index = this.running.findIndex(r => r.id === id);
      this.running.splice(index, index < 0 ? 0 : 1);
      this.preempting.delete(id);
      return [...this.giveBack(), ...this.fill()];
    },
    abandoned: ({id}) => {
      const index = this.waiting.findIndex(r => r.id === id);
      if (index >= 0) this.waiting.splice(index, 1);
      return [];
    },
    leaving: () => {
      this.isLeaving = true;
      return this.giveBack();
    },
  };

  private readonly prefilled = new Set<string>();

  constructor(
    private readonly capacity: number,
    private readonly firstPiece?: number,
  ) {}

  handle(event: AdmissionEvent): readonly AdmissionAction[] {
    const handler = this.handlers[event.kind] as
      ((event: AdmissionEvent) => AdmissionAction[]) | undefined;
    return handler?.(event) ?? [];
  }

  load(): AdmissionLoad {
    const count = (list: readonly AdmissionRequest[], kind: string) =>
      list.filter(request => request.class === kind).length;
    return {
      onlineRunning: count(this.running, 'online'),
      onlineQueued: count(this.waiting, 'online'),
      onlineCapacity: this.capacity,
      batchRunning: count(this.running, 'batch'),
      batchQueued: count(this.waiting, 'batch'),
      batchRoom: Math.max(0, this.capacity - this.running.length),
      prefillTokens: 0,
      stepMs: 0,
    };
  }

  private makeRoom(request: AdmissionRequest): AdmissionAction[] {
    if (request.class === 'batch' || this.running.length < this.capacity) {
      return [];
    }
    const victim = this.running.findLast(
      r => r.class === 'batch' && r.preemptible && !this.preempting.has(r.id),
    );
    if (!victim) return [];
    this.preempting.add(victim.id);
    return [{kind: 'preempt', id: victim.id}];
  }

  private fill(): AdmissionAction[] {
    const actions: AdmissionAction[] = [];
    this.waiting.sort((a, b) => rank(a) - rank(b));
    while (this.running.length < this.capacity && this.waiting.length > 0) {
      const next = this.waiting.shift()!;
      this.running.push(next);
      const prefillOnly = this.prefilled.has(next.id)
        ? undefined
        : this.firstPiece;
      this.prefilled.add(next.id);
      actions.push({kind: 'start', id: next.id, prefillOnly});
    }
    return actions;
  }

  private giveBack(): AdmissionAction[] {
    if (!this.isLeaving) return [];
    const batch = this.waiting.filter(r => r.class === 'batch');
    const online = this.waiting.filter(r => r.class === 'online');
    this.waiting.splice(0, this.waiting.length, ...online);
    return batch.map(({id}) => ({kind: 'give-back', id}));
  }
}

function rank(request: AdmissionRequest): number {
  return request.class === 'online' ? 0 : 1;
}
