/**
 * Works on jobs a few at a time. Answers the load of many jobs whose calls to
 * the store get no response: the others must not wait until all of them have
 * been tried again.
 */
import type {VersionedHead} from '../request/job_rows.js';

/**
 * Jobs to work on, those first that were tried longest ago or never. Each offer
 * replaces the jobs that wait, so that none is worked on for a reason that no
 * longer holds.
 */
export class JobPool implements Disposable {
  private readonly busy = new Set<string>();
  /** Number of the last try, by job that was offered last. */
  private tries = new Map<string, number>();
  private tryCount = 0;
  private waiting: VersionedHead[] = [];

  /**
   * @param slots - Maximum number of jobs that are worked on at a time.
   * @param work - Works on a job. It must not reject.
   */
  constructor(
    private readonly slots: number,
    private readonly work: (found: VersionedHead) => Promise<void>,
  ) {}

  /** @param due - All jobs that are to be worked on now. */
  offer(due: readonly VersionedHead[]): void {
    const lastTry = ({head: {id}}: VersionedHead) => this.tries.get(id) ?? 0;
    this.tries = new Map(due.map(found => [found.head.id, lastTry(found)]));
    this.waiting = due
      .filter(({head: {id}}) => !this.busy.has(id))
      .sort((a, b) => lastTry(a) - lastTry(b));
    this.fill();
  }

  /** Begins no more work. */
  [Symbol.dispose](): void {
    this.waiting = [];
  }

  private fill(): void {
    while (this.busy.size < this.slots) {
      const next = this.waiting.shift();
      if (!next) return;
      void this.start(next);
    }
  }

  private async start(found: VersionedHead): Promise<void> {
    const {id} = found.head;
    this.busy.add(id);
    this.tries.set(id, ++this.tryCount);
    await this.work(found);
    this.busy.delete(id);
    this.fill();
  }
}
