/**
 * Selects the targets of batch items of this host: by the local view, and if
 * that finds a free slot, by the coordinator.
 */
import type {Target} from '../connection/target.js';
import type {LoadPeer} from './load_reporter.js';
import {MAX_EXCLUDED, type PlacementAsker} from './placement_asker.js';
import type {ItemPlacementOutcome} from './placement_outcome.js';
import type {TargetChooser} from './target_chooser.js';
import type {BatchPressure} from './target_score.js';

/** Dependencies of {@link ItemPlacer}. */
export interface ItemPlacerContext<P extends LoadPeer> {
  readonly chooser: Pick<TargetChooser, 'items'>;
  readonly asker: Pick<PlacementAsker<P>, 'request'>;
  /**
   * @returns The coordinator to ask; undefined if it is this host, there is
   *     none, or it does not reply.
   */
  readonly coordinator: () => P | undefined;
}

const NO_TARGETS: ReadonlySet<string> = new Set();

/** Places the items of this host. */
export class ItemPlacer<P extends LoadPeer> {
  /** @param context - Target selection and the coordinator. */
  constructor(private readonly context: ItemPlacerContext<P>) {}

  /**
   * @param service - Service that the target must provide.
   * @param pressure - Whether the item is urgent.
   * @param avoided - IDs of targets that must not be selected.
   * @returns The selected target, or who has found none. Never rejects.
   */
  async place(
    service: string,
    pressure: BatchPressure,
    avoided: ReadonlySet<string>,
  ): Promise<ItemPlacementOutcome> {
    const {chooser, asker, coordinator: coordinatorNow} = this.context;
    const own = chooser.items.forItem(service, pressure, avoided);
    const coordinator = coordinatorNow();
    if (!coordinator || !own) return byOwnView(own);
    const answer = await asker.request(
      coordinator,
      service,
      {lane: 'batch', pressure, avoided: [...avoided].slice(0, MAX_EXCLUDED)},
      NO_TARGETS,
    );
    if (answer === 'silent')
      return byOwnView(chooser.items.forItem(service, pressure, avoided));
    return answer.kind === 'placed'
      ? answer
      : {kind: 'full', by: 'coordinator'};
  }
}

function byOwnView(target: Target | undefined): ItemPlacementOutcome {
  return target ? {kind: 'placed', target} : {kind: 'full', by: 'own-view'};
}
