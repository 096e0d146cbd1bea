/**
 * Remembers recent lists of hosts, to tell since when this host has been the
 * quota owner of an account.
 *
 * Guards against an owner that takes itself for new, and refuses requests, each
 * time another host joins or leaves.
 */
import {OWNER_CHANGE_MARGIN_MS, ranksWithin, rendezvous} from '@oathead/core';

interface HostList {
  readonly names: readonly string[];
  readonly adoptedAt: number;
}

/**
 * Number of lists that are remembered. If they change more often, accounts seem
 * to have changed their owner more recently than they have.
 */
const MAX_LISTS = 16;

/** Recent lists of the hosts that may own accounts. */
export class OwnershipHistory {
  /** Latest first. */
  private lists: readonly HostList[] = [];

  /** @param self - Name of this host. */
  constructor(private readonly self: string) {}

  /**
   * @param names - Names of the live hosts.
   * @param now - Time on a monotonic clock, in milliseconds.
   */
  adopt(names: readonly string[], now: number): void {
    const latest = this.lists[0]?.names;
    const isSame =
      latest?.length === names.length &&
      latest.every((name, i) => name === names[i]);
    if (isSame) return;
    const list = {names: [...names], adoptedAt: now};
    this.lists = [list, ...this.lists].slice(0, MAX_LISTS);
  }

  /**
   * Forgets all lists but the latest, which counts as adopted now.
   *
   * @param now - Time on a monotonic clock, in milliseconds.
   */
  restart(now: number): void {
    const latest = this.lists[0];
    this.lists = latest ? [{...latest, adoptedAt: now}] : [];
  }

  /**
   * @param account - Name of an account.
   * @param rank - Number of hosts that are considered: 1 for the quota owner, 2
   *     to include the reserve keeper.
   * @returns The time since which this host has been among them, on a monotonic
   *     clock in milliseconds; infinite if it is not.
   */
  heldSince(account: string, rank: 1 | 2): number {
    return this.oldestHeld(account, rank)?.adoptedAt ?? Infinity;
  }

  /**
   * @param account - Account that this host owns by the latest list.
   * @returns The time since which this host has been the only owner, on a
   *     monotonic clock in milliseconds, infinite if it is not. If the owner
   *     before is not in the list any more, it has been silent for long, and
   *     the hosts need no time to learn of the change.
   */
  ownedSince(account: string): number {
    const oldest = this.oldestHeld(account, 1);
    if (!oldest) return Infinity;
    const before = this.lists[this.lists.indexOf(oldest) + 1];
    const [previous] = before ? rendezvous(account, before.names) : [];
    const isLost = previous !== undefined && !oldest.names.includes(previous);
    return oldest.adoptedAt - (isLost ? OWNER_CHANGE_MARGIN_MS : 0);
  }

  private oldestHeld(account: string, rank: 1 | 2): HostList | undefined {
    let oldest: HostList | undefined;
    for (const list of this.lists) {
      if (!ranksWithin(rank, account, this.self, list.names)) break;
      oldest = list;
    }
    return oldest;
  }
}
