/**
 * Selects the targets of batch items of this host: by the local view, and if
 * that finds a free slot, by the coordinator of the data centre that has it.
 */
import type {Target} from '../connection/target.js';
import type {LoadPeer} from './load_reporter.js';
import {MAX_EXCLUDED, type PlacementAsker} from './placement_asker.js';
import type {ItemPlacementOutcome} from './placement_outcome.js';
import type {TargetChooser} from './target_chooser.js';
import type {BatchPressure} from './target_score.js';
import {ANY_VERSION, type WantedVersion} from './wanted_version.js';

/** Dependencies of {@link ItemPlacer}. */
export interface ItemPlacerContext<P extends LoadPeer> {
  readonly self: LoadPeer;
  readonly chooser: Pick<TargetChooser, 'items'>;
  readonly asker: Pick<PlacementAsker<P>, 'request' | 'isPaused'>;
  /**
   * @returns The coordinator to ask; undefined if it is this host, there is
   *     none, or it does not reply.
   */
  readonly coordinator: () => P | undefined;
  /**
   * @returns The coordinator of another data centre; undefined if there is
   *     none.
   */
  readonly coordinatorOf: (dataCentre: string) => P | undefined;
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
   * @param wanted - Software version that the target must have, if any.
   * @returns The selected target, or who has found none. Never rejects.
   */
  async place(
    service: string,
    pressure: BatchPressure,
    avoided: ReadonlySet<string>,
    wanted = ANY_VERSION,
  ): Promise<ItemPlacementOutcome> {
    const {chooser, asker} = this.context;
    const choose = () =>
      chooser.items.forItem(service, pressure, avoided, wanted);
    const own = choose();
    const coordinator = own && this.coordinatorFor(service, own, wanted);
    if (!coordinator || !own) return byOwnView(own);
    const answer = await asker.request(
      coordinator,
      service,
      {
        lane: 'batch',
        pressure,
        avoided: [...avoided].slice(0, MAX_EXCLUDED),
        ...wanted,
      },
      NO_TARGETS,
    );
    if (answer === 'silent') return byOwnView(choose());
    return answer.kind === 'placed'
      ? answer
      : {kind: 'full', by: 'coordinator'};
  }

  /**
   * Guards against items that never start: the coordinator of a data centre
   * without usable targets of the service grants none to items that can wait.
   */
  private coordinatorFor(
    service: string,
    own: Target,
    wanted: WantedVersion,
  ): P | undefined {
    const {self, chooser, asker, coordinator, coordinatorOf} = this.context;
    const isLocal = own.dataCentre === self.dataCentre;
    if (isLocal || chooser.items.hasLocal(service, wanted))
      return coordinator();
    const other = coordinatorOf(own.dataCentre);
    return other && asker.isPaused(other) ? undefined : other;
  }
}

function byOwnView(target: Target | undefined): ItemPlacementOutcome {
  return target ? {kind: 'placed', target} : {kind: 'full', by: 'own-view'};
}
