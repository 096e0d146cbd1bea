/**
 * Places requests of all hosts of a data centre, one after another, on one view of
 * the loads.
 *
 * Answers bursts on large fleets: fifteen hosts of a data centre that each know what
 * the others sent a tenth of a second ago all choose the target that was free then,
 * and callers wait there while others run empty. The one that coordinates knows at
 * once what it has placed. Any host can: it needs no more than the loads that it
 * hears anyway, and what it has placed is told by those who send it.
 */
import type {Target} from '../connection/target.js';
import {targetKey} from '../connection/load_message.js';
import type {PlaceAsk, PlaceWish} from '../connection/placement_message.js';
import {AvoidedTargets} from './avoided_targets.js';
import type {LoadTable} from './load_table.js';
import type {TargetChooser} from './target_chooser.js';

/** Items that another host has to end. */
export interface ItemsToEnd {
  readonly host: string;
  readonly items: number;
}

/** What was decided. */
export interface Placed {
  /** Undefined: none has room now. */
  readonly target: Target | undefined;
  /** Items that hold its place, of hosts other than this one: this one ends its
   * own as it sees the load. */
  readonly itemsToEnd: readonly ItemsToEnd[];
}

/** What a {@link Coordinator} needs. */
export interface CoordinatorContext {
  /** This host's run, as its loads name it. */
  readonly self: string;
  readonly dataCentre: string;
  readonly chooser: TargetChooser;
  readonly loads: LoadTable;
  /** A steady clock, in milliseconds. */
  readonly now: () => number;
}

const NONE_TO_END: readonly ItemsToEnd[] = [];

/** Decides for other hosts. */
export class Coordinator {
  private readonly avoided: AvoidedTargets;

  /** @param context - What is known of targets and loads. */
  constructor(private readonly context: CoordinatorContext) {
    this.avoided = new AvoidedTargets(context.now);
  }

  /**
   * @param ask - A host's question.
   * @param dataCentre - Where the host is.
   * @returns Where to send it; the load counts from now on.
   */
  place({host, service, wish, excluded}: PlaceAsk, dataCentre: string): Placed {
    this.avoided.report(host, excluded);
    const avoided = new Set([...excluded, ...this.avoided.current()]);
    const target =
      this.choose(service, wish, avoided) ??
      this.choose(service, wish, new Set(excluded));
    if (!target) return {target, itemsToEnd: NONE_TO_END};
    const key = targetKey(target.id);
    const {loads, dataCentre: own} = this.context;
    if (dataCentre === own) loads.cause(host, key, wish.lane, 1);
    else loads.causeFar(dataCentre, key, wish.lane, 1);
    const itemsToEnd =
      wish.lane === 'online' ? this.makeRoom(target, key) : NONE_TO_END;
    return {target, itemsToEnd};
  }

  private choose(
    service: string,
    wish: PlaceWish,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {chooser} = this.context;
    if (wish.lane === 'batch')
      return chooser.forItemOfDataCentre(service, wish.pressure, excluded);
    return wish.near
      ? chooser.forRequestNear(service, wish.demand, excluded)
      : chooser.forRequest(service, wish.demand, excluded);
  }

  private makeRoom(target: Target, key: string): readonly ItemsToEnd[] {
    const {chooser, loads, self} = this.context;
    const shares = [...chooser.itemsToYieldByHost(target, self)];
    const others = shares.filter(([host]) => host !== self);
    for (const [host, items] of others) loads.cause(host, key, 'batch', -items);
    return others.map(([host, items]) => ({host, items}));
  }
}
