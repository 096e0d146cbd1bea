/**
 * Where the next request or item of this host goes: by its own view of the loads, or
 * by the host that coordinates the data centre.
 *
 * Own views do while there are free slots to spare, and in small fleets, where loads
 * are told quickly. Guards against a coordinator that is lost, stands still or is cut
 * off: each question has a short timeout, after which the own view decides, and after
 * several in a row nobody asks for a while.
 */
import type {Clock, Counters, EventLog, WaitDemand} from '@oathead/core';
import type {Target} from '../connection/target.js';
import type {
  PlaceAsk,
  PlacementMessage,
  PlaceWish,
} from '../connection/placement_message.js';
import type {Coordinator} from './coordinator.js';
import type {LoadPeer} from './load_telling.js';
import type {BatchPressure, TargetChooser} from './target_chooser.js';
import type {TargetDirectory} from './target_directory.js';

/** How long an answer of the coordinator is waited for, in milliseconds: several
 * round trips inside a data centre, and little of any objective. */
const ASK_TIMEOUT_MS = 25;
/** After so many questions in a row without an answer nobody asks for a while. */
const FAILURES_TO_PAUSE = 3;
/** For how long, in milliseconds: until then it is back, or soon another host is
 * taken for the coordinator. */
const PAUSE_MS = 1000;
/** While so much of a near target's slots or less is in use, as a share, the own
 * view decides: what others have sent meanwhile fits beside it. */
const CALM_SHARE = 0.5;

/** Targets that a question names at the most: it has to fit into a datagram. */
const MAX_EXCLUDED = 30;

const NONE: ReadonlySet<string> = new Set();

/** What a {@link Placement} needs. */
export interface PlacementContext<P extends LoadPeer> {
  readonly self: LoadPeer;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly chooser: TargetChooser;
  readonly directory: TargetDirectory;
  readonly own: Coordinator;
  /** @returns Who coordinates; undefined: this host, or nobody. */
  readonly coordinator: () => P | undefined;
  /** @returns Who coordinates another data centre; undefined: nobody. */
  readonly coordinatorOf: (dataCentre: string) => P | undefined;
  /** @returns A host of this data centre. */
  readonly peer: (id: string) => P | undefined;
  readonly send: (message: PlacementMessage, to: P) => void;
  /** Called when items of this host have to end at a target. */
  readonly onYield: (targetId: string, items: number) => void;
}

/** Places online requests. */
export type RequestPlacement = Pick<Placement<LoadPeer>, 'forRequest'>;

/** Places items of batch jobs. */
export type ItemPlacement = Pick<Placement<LoadPeer>, 'forItem' | 'asksOthers'>;

type Answer = (targetId: string | undefined) => void;

/** Asks for places, and answers those who ask. */
export class Placement<P extends LoadPeer> {
  private readonly waiting = new Map<number, Answer>();
  private askId = 0;
  /** Questions in a row without an answer, by the host that was asked. */
  private readonly failures = new Map<string, number>();
  private readonly pausedUntil = new Map<string, number>();

  /** @param context - Whom to ask, and the own view. */
  constructor(private readonly context: PlacementContext<P>) {}

  /** Whether another host is asked for places now. */
  get asksOthers(): boolean {
    return this.coordinator() !== undefined;
  }

  /**
   * @param service - Whose targets can do it.
   * @param demand - How long it may wait there.
   * @param tried - Targets that had their try.
   * @returns Where to send it; undefined: none has room. Never rejects.
   */
  async forRequest(
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): Promise<Target | undefined> {
    const first = await this.byOwnDataCentre(service, demand, tried);
    return first && this.byOther(first, service, demand, tried);
  }

  private async byOwnDataCentre(
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): Promise<Target | undefined> {
    const {chooser} = this.context;
    const own = chooser.forRequest(service, demand, tried);
    const coordinator = this.coordinator();
    if (!coordinator || (own && chooser.isCalm(own, CALM_SHARE))) return own;
    const wish = {lane: 'online', demand, near: false} as const;
    const answer = await this.ask(coordinator, service, wish, tried);
    return answer === 'silent'
      ? chooser.forRequest(service, demand, tried)
      : answer;
  }

  /**
   * Guards against targets of another data centre that several data centres fill at
   * the same time: each knows what the others sent there as of a fifth of a second
   * ago. The coordinator there knows what it has placed itself.
   */
  private async byOther(
    first: Target,
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): Promise<Target | undefined> {
    const {self, coordinatorOf, chooser} = this.context;
    const {dataCentre} = first;
    const other =
      dataCentre === self.dataCentre ? undefined : coordinatorOf(dataCentre);
    if (!other || this.isPaused(other)) return first;
    const wish = {lane: 'online', demand, near: true} as const;
    const answer = await this.ask(other, service, wish, tried);
    if (answer === 'silent') return first;
    return answer ?? chooser.forRequestNear(service, demand, tried);
  }

  /**
   * @param service - Whose targets can do it.
   * @param pressure - Whether the item is due soon.
   * @returns Where to send it; undefined: none has room. Never rejects.
   */
  async forItem(
    service: string,
    pressure: BatchPressure,
  ): Promise<Target | undefined> {
    const {chooser} = this.context;
    const own = chooser.forItem(service, pressure);
    const coordinator = this.coordinator();
    if (!coordinator || !own) return own;
    const answer = await this.ask(
      coordinator,
      service,
      {lane: 'batch', pressure},
      NONE,
    );
    return answer === 'silent' ? chooser.forItem(service, pressure) : answer;
  }

  /** @param message - What another host says. */
  hear(message: PlacementMessage): void {
    switch (message.kind) {
      case 'ask':
        this.answer(message);
        return;
      case 'grant':
        this.waiting.get(message.askId)?.(message.targetId);
        return;
      case 'yield':
        this.context.onYield(message.targetId, message.items);
    }
  }

  private coordinator(): P | undefined {
    const coordinator = this.context.coordinator();
    return coordinator && this.isPaused(coordinator) ? undefined : coordinator;
  }

  private isPaused({id}: P): boolean {
    return this.context.clock.now() < (this.pausedUntil.get(id) ?? -Infinity);
  }

  private async ask(
    coordinator: P,
    service: string,
    wish: PlaceWish,
    tried: ReadonlySet<string>,
  ): Promise<Target | undefined | 'silent'> {
    const {self, send, counters} = this.context;
    const askId = ++this.askId;
    const excluded = this.excluded(service, tried);
    const ask = {host: self.id, askId, service, wish, excluded};
    const answered = this.answerTo(askId);
    send({kind: 'ask', ...ask}, coordinator);
    const answer = await answered;
    const outcome = answer === 'silent' ? 'silent' : answer ? 'place' : 'full';
    counters.count('placement_asks', {lane: wish.lane, outcome});
    if (answer === 'silent') this.failed(coordinator);
    else this.failures.delete(coordinator.id);
    if (answer === undefined || answer === 'silent') return answer;
    return this.usable(answer, service) ?? 'silent';
  }

  /**
   * Guards against a request that is sent to a target which is leaving, or gone: the
   * coordinator may have read the list of targets a moment earlier.
   */
  private usable(targetId: string, service: string): Target | undefined {
    const targets = this.context.directory.ofService(service);
    return targets.find(({id}) => id === targetId);
  }

  /**
   * Guards against requests that go to a target which has failed this host again and
   * again: it crashed, and has the least load of all where nobody has tried it yet.
   */
  private excluded(
    service: string,
    tried: ReadonlySet<string>,
  ): readonly string[] {
    const suspended = this.context.chooser.suspended(service);
    return [...new Set([...tried, ...suspended])].slice(0, MAX_EXCLUDED);
  }

  private answerTo(askId: number): Promise<string | undefined | 'silent'> {
    return new Promise(resolve => {
      const timer = this.context.clock.after(ASK_TIMEOUT_MS, () => {
        this.waiting.delete(askId);
        resolve('silent');
      });
      this.waiting.set(askId, targetId => {
        this.waiting.delete(askId);
        timer[Symbol.dispose]();
        resolve(targetId);
      });
    });
  }

  private failed({id}: P): void {
    const {clock, log} = this.context;
    const failures = (this.failures.get(id) ?? 0) + 1;
    this.failures.set(id, failures);
    if (failures < FAILURES_TO_PAUSE) return;
    this.failures.delete(id);
    this.pausedUntil.set(id, clock.now() + PAUSE_MS);
    log.event('coordinator-silent', {coordinator: id, pauseMs: PAUSE_MS});
  }

  private answer(ask: PlaceAsk): void {
    const {own, peer, send} = this.context;
    const to = peer(ask.host);
    // A host that is not known yet falls back to its own view.
    if (!to) return;
    const {target, itemsToEnd} = own.place(ask, to.dataCentre);
    send({kind: 'grant', askId: ask.askId, targetId: target?.id}, to);
    if (!target) return;
    for (const {host, items} of itemsToEnd) {
      const holder = peer(host);
      if (holder) send({kind: 'yield', targetId: target.id, items}, holder);
    }
  }
}
