/** Asks coordinators for placements and waits for their replies. */
import type {Clock, Counters, EventLog} from '@oathead/core';
import type {
  PlacementCriteria,
  PlacementGrant,
  PlacementMessage,
} from '../connection/placement_message.js';
import type {Target} from '../connection/target.js';
import type {LoadPeer} from './load_reporter.js';
import {PendingReplies} from './pending_replies.js';
import {placementOutcome, type PlacementOutcome} from './placement_outcome.js';
import {SilentCoordinators} from './silent_coordinators.js';
import type {TargetChooser} from './target_chooser.js';
import type {TargetDirectory} from './target_directory.js';
import {hasWantedVersion, type WantedVersion} from './wanted_version.js';

/** Dependencies of {@link PlacementAsker}. */
export interface PlacementAskerContext<P extends LoadPeer> {
  readonly self: LoadPeer;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly chooser: Pick<TargetChooser, 'suspended'>;
  readonly directory: Pick<TargetDirectory, 'ofService'>;
  readonly send: (message: PlacementMessage, to: P) => void;
}

/**
 * Maximum number of excluded targets in a placement request, which must fit
 * into a datagram.
 */
export const MAX_EXCLUDED = 30;

/** Placement requests of this host that wait for a reply. */
export class PlacementAsker<P extends LoadPeer> {
  private readonly replies: PendingReplies;
  private askId = 0;
  private readonly silent: SilentCoordinators;

  /** @param context - Sends requests, and knows the targets. */
  constructor(private readonly context: PlacementAskerContext<P>) {
    this.silent = new SilentCoordinators(context);
    this.replies = new PendingReplies(context.clock);
  }

  /**
   * @param coordinator - A coordinator.
   * @returns Whether it gets no requests at present, because it does not reply.
   */
  isPaused({id}: P): boolean {
    return this.silent.isPaused(id);
  }

  /** @param grant - A reply, which may be too late. */
  receive(grant: PlacementGrant): void {
    this.replies.receive(grant);
  }

  /**
   * @param coordinator - The coordinator to ask.
   * @param service - Service that the target must provide.
   * @param criteria - Requirements on the slot.
   * @param tried - IDs of targets that were tried already.
   * @returns Its answer; 'silent' if there is no usable one in time. Never
   *     rejects.
   */
  async request(
    coordinator: P,
    service: string,
    criteria: PlacementCriteria,
    tried: ReadonlySet<string>,
  ): Promise<PlacementOutcome | 'silent'> {
    const {self, send, counters} = this.context;
    const askId = ++this.askId;
    const excluded = this.excludedTargets(service, tried);
    const request = {host: self.id, askId, service, wish: criteria, excluded};
    const answered = this.replies.next(askId);
    send({kind: 'ask', ...request}, coordinator);
    const answer = await answered;
    const outcome = outcomeLabel(answer);
    counters.count('placement_asks', {lane: criteria.lane, outcome});
    if (answer === 'silent') {
      this.silent.recordTimeout(coordinator.id);
      return answer;
    }
    this.silent.recordReply(coordinator.id);
    const {targetId, cause = 'room', retryAfterMs, figures} = answer;
    if (targetId === undefined)
      return {kind: 'full', cause, retryAfterMs, figures};
    const target = this.findUsable(targetId, service);
    // A host with an older release does not know the demand for a version.
    const isSuitable = target && hasWantedVersion(target, versionOf(criteria));
    return isSuitable ? placementOutcome(target) : 'silent';
  }

  /**
   * Returns the target unless it is draining or was removed. The coordinator
   * may have read an earlier state of the target list.
   */
  private findUsable(targetId: string, service: string): Target | undefined {
    const targets = this.context.directory.ofService(service);
    return targets.find(({id}) => id === targetId);
  }

  /**
   * Lists the targets that the coordinator must not select. A target that
   * crashed has failed this host repeatedly, but has the lowest load of all
   * from the point of view of a coordinator that has not tried it.
   */
  private excludedTargets(
    service: string,
    tried: ReadonlySet<string>,
  ): readonly string[] {
    const suspended = this.context.chooser.suspended(service);
    return [...new Set([...tried, ...suspended])].slice(0, MAX_EXCLUDED);
  }
}

function versionOf(criteria: PlacementCriteria): WantedVersion {
  return criteria.lane === 'online' ? criteria.demand : criteria;
}

function outcomeLabel(answer: PlacementGrant | 'silent'): string {
  if (answer === 'silent') return answer;
  return answer.targetId === undefined ? 'full' : 'place';
}
