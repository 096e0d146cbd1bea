/**
 * Decides from which version a change feed is resumed. A feed may keep changes
 * back for a while and respond that there are none, as of the newest version. If
 * it was resumed from there and the store lost its history right then, the
 * changes would be missed without an error.
 */
import type {RowChange} from './row_store.js';

/**
 * How long ago a response without changes must be before the feed is resumed
 * from its version, in milliseconds: longer than changes are kept back.
 */
const RESUME_DELAY_MS = 2000;

/** A response without changes. */
interface EmptyResponse {
  readonly version: number;
  readonly receivedAtMs: number;
}

/** The position of one reader in the change feed of a table. */
export class FeedPosition {
  private resumeFrom = 0;
  private newest = 0;
  /** Responses without changes since the last change, the oldest first. */
  private empty: readonly EmptyResponse[] = [];

  /** Version after which the feed is resumed. */
  get version(): number {
    return this.resumeFrom;
  }

  /** Highest version in any response. */
  get newestVersion(): number {
    return this.newest;
  }

  /** Whether the last response contained no changes. */
  get isQuiet(): boolean {
    return this.empty.length > 0;
  }

  /**
   * Records a response of the feed.
   *
   * @param changes - Its changes.
   * @param version - Newest version of the store, as of the response.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordChanges(
    changes: readonly RowChange[],
    version: number,
    nowMs: number,
  ): void {
    this.newest = Math.max(this.newest, version);
    if (changes.length > 0) {
      this.empty = [];
      this.resumeFrom = Math.max(this.resumeFrom, ...changes.map(versionOf));
      return;
    }
    const isOld = ({receivedAtMs}: EmptyResponse) =>
      nowMs - receivedAtMs >= RESUME_DELAY_MS;
    const old = this.empty.filter(isOld).map(response => response.version);
    this.resumeFrom = Math.max(this.resumeFrom, ...old);
    this.empty = [
      ...this.empty.filter(response => !isOld(response)),
      {version, receivedAtMs: nowMs},
    ];
  }

  /**
   * Records a full read of the table.
   *
   * @param version - The lowest version of its pages.
   */
  recordFullRead(version: number): void {
    this.resumeFrom = Math.max(this.resumeFrom, version);
    this.newest = Math.max(this.newest, version);
    this.empty = [];
  }

  /** Records that the feed has lost its history. */
  recordLostHistory(): void {
    this.empty = [];
  }
}

function versionOf(change: RowChange): number {
  return change.kind === 'put' ? change.row.version : change.version;
}
