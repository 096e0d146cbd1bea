/** The last changes, in memory, for watches and for peers that ask. */
import type {Change} from '../version/change.js';

const MAX_CHANGES = 1_024;

/** The last changes up to the current revision, without a gap. */
export class RecentChanges {
  private changes: readonly Change[] = [];

  /** @param changes - The changes that follow the last one. */
  push(changes: readonly Change[]): void {
    this.changes = [...this.changes, ...changes].slice(-MAX_CHANGES);
  }

  /** Forgets all: what led to the next revision is not known. */
  clear(): void {
    this.changes = [];
  }

  /**
   * @param since - A revision before the current one.
   * @returns All changes after it, or undefined when some are not held.
   */
  since(since: number): readonly Change[] | undefined {
    const first = this.changes[0];
    if (!first || first.revision > since + 1) return undefined;
    return this.changes.slice(since + 1 - first.revision);
  }
}
