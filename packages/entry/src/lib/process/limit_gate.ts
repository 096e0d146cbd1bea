/**
 * Callers' limits at one entry. Entries share each limit by demand: who is
 * near a limit tells the entry that is the caller's home, once a second, and
 * learns what is asked of the others. Callers far from their limits cost no message.
 */
import {
  CallerLimits,
  DisposableStore,
  LinkLostError,
  estimatePromptTokens,
  isFinalEvent,
  repeat,
} from '@oathead/core';
import type {
  CallerDemand,
  Clock,
  ConfigSnapshot,
  ConfigView,
  ServeEvent,
  Work,
} from '@oathead/core';
import type {Membership, Peer} from '@oathead/membership';
import type {Serve, ServeCall} from '../request/online_call.js';

/** What one caller asks of one entry, or of several. */
export interface UseReport {
  readonly caller: string;
  readonly use: CallerDemand;
}

/** What one entry tells the home of some callers. */
export interface UseReports {
  readonly entryId: string;
  readonly reports: readonly UseReport[];
}

/** What the limits need. */
export interface LimitGateDeps {
  readonly clock: Clock;
  readonly cfg: ConfigView;
  readonly membership: Membership;
  /**
   * Tells a caller's home, and learns the sum over the other entries.
   *
   * @throws LinkLostError
   */
  readonly tell: (
    peer: Peer,
    reports: UseReports,
  ) => Promise<readonly UseReport[]>;
}

const EXCHANGE_MS = 1000;
/** A demand that was not told again for so long is over, in milliseconds. */
const USE_LASTS_MS = 5000;
const NO_USE: CallerDemand = {requests: 0, tokens: 0, concurrent: 0};

interface TimedUse {
  readonly use: CallerDemand;
  readonly at: number;
}

/** Admits requests of callers within their limits. */
export class LimitGate implements Disposable {
  private readonly held = new DisposableStore();
  private readonly limits = new CallerLimits(1);
  private declared: ReadonlySet<string> = new Set();
  /** Callers that came near their limits since the last exchange. */
  private readonly near = new Set<string>();
  /** As the home of callers: what is asked of each entry, by caller and entry. */
  private readonly uses = new Map<string, Map<string, TimedUse>>();

  /** @param deps - Clock, configuration and the way to other entries. */
  constructor(private readonly deps: LimitGateDeps) {
    const {cfg, membership, clock} = deps;
    this.declare(cfg.current());
    this.held.add(cfg.onChange(snapshot => this.declare(snapshot)));
    this.held.add(
      membership.onHead(() =>
        this.limits.setEntryCount(Math.max(1, membership.peers().length)),
      ),
    );
    this.held.add(repeat(clock, EXCHANGE_MS, () => this.exchange()));
  }

  /**
   * @param serve - What serves a request.
   * @returns The same within the caller's limits.
   */
  limited(serve: Serve): Serve {
    return (call, signal) => this.serve(serve, call, signal);
  }

  /**
   * Answers another entry as the home of callers.
   *
   * @param reports - What is asked of that entry.
   * @returns The sum over all other entries.
   */
  heard({entryId, reports}: UseReports): readonly UseReport[] {
    const at = this.deps.clock.now();
    return reports.map(({caller, use}) => {
      const byEntry = this.uses.get(caller) ?? new Map<string, TimedUse>();
      byEntry.set(entryId, {use, at});
      this.uses.set(caller, byEntry);
      return {caller, use: sumOfOthers(byEntry, entryId, at)};
    });
  }

  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  private async *serve(
    serve: Serve,
    call: ServeCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    const {clock} = this.deps;
    const asked = tokensOf(call.work);
    const refusal = this.limits.admit(call.caller, asked, clock.now());
    if (this.limits.isNearLimit(call.caller)) this.near.add(call.caller);
    if (refusal) {
      yield {kind: 'refused', refusal};
      return;
    }
    let used = 0;
    try {
      for await (const event of serve(call, signal)) {
        if (isFinalEvent(event)) used = usedTokens(event, asked);
        yield event;
      }
    } finally {
      this.limits.release(call.caller, asked - used);
    }
  }

  private declare(snapshot: ConfigSnapshot): void {
    const now = this.deps.clock.now();
    const declared = snapshot.all('limits');
    for (const {name, spec} of declared) this.limits.setLimit(name, spec, now);
    const names = new Set(declared.map(({name}) => name));
    for (const name of this.declared) {
      if (!names.has(name)) this.limits.remove(name);
    }
    this.declared = names;
  }

  private async exchange(): Promise<void> {
    const byHome = this.reportsByHome();
    this.near.clear();
    this.forgetOld();
    await Promise.all(
      [...byHome].map(([home, reports]) => this.exchangeWith(home, reports)),
    );
  }

  private async exchangeWith(
    home: Peer,
    reports: readonly UseReport[],
  ): Promise<void> {
    const {membership, clock} = this.deps;
    const told = {entryId: membership.entryId, reports};
    const others = await this.tell(home, told);
    for (const {caller, use} of others) {
      this.limits.applyPeerDemand(caller, use, clock.now());
    }
  }

  private async tell(
    home: Peer,
    told: UseReports,
  ): Promise<readonly UseReport[]> {
    if (home.entryId === this.deps.membership.entryId) return this.heard(told);
    try {
      return await this.deps.tell(home, told);
    } catch (err) {
      // Without word from the others, the shares learnt last stay in force.
      if (err instanceof LinkLostError) return [];
      throw err;
    }
  }

  private reportsByHome(): ReadonlyMap<Peer, readonly UseReport[]> {
    const {membership, clock} = this.deps;
    const uses = this.limits.demand(clock.now());
    const byHome = new Map<Peer, UseReport[]>();
    for (const caller of this.near) {
      const home = membership.ownerOf(membership.shareOf(caller));
      if (!home) continue;
      const report = {caller, use: uses.get(caller) ?? NO_USE};
      byHome.set(home, [...(byHome.get(home) ?? []), report]);
    }
    return byHome;
  }

  private forgetOld(): void {
    const oldest = this.deps.clock.now() - USE_LASTS_MS;
    for (const [caller, byEntry] of this.uses) {
      for (const [entryId, {at}] of byEntry) {
        if (at < oldest) byEntry.delete(entryId);
      }
      if (byEntry.size === 0) this.uses.delete(caller);
    }
  }
}

function sumOfOthers(
  byEntry: ReadonlyMap<string, TimedUse>,
  entryId: string,
  now: number,
): CallerDemand {
  let sum = NO_USE;
  for (const [other, {use, at}] of byEntry) {
    if (other === entryId || now - at > USE_LASTS_MS) continue;
    sum = {
      requests: sum.requests + use.requests,
      tokens: sum.tokens + use.tokens,
      concurrent: sum.concurrent + use.concurrent,
    };
  }
  return sum;
}

function tokensOf(work: Work): number {
  const generated = work.kind === 'completion' ? work.maxTokens : 0;
  return estimatePromptTokens(work) + generated;
}

function usedTokens(event: ServeEvent, asked: number): number {
  if (event.kind === 'done') {
    const {answer} = event;
    if (answer.kind !== 'completion') return asked;
    return answer.usage.promptTokens + answer.usage.completionTokens;
  }
  const notRun = event.kind === 'refused' && event.refusal.ran === 'not-run';
  return notRun ? 0 : asked;
}
