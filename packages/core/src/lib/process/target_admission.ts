/**
 * Admission control at one target. It dispatches each event to the scheduler of
 * the pool concerned. All models of a target share its engine and therefore one
 * scheduler; each plain service has its own.
 */
import type {
  Admission,
  AdmissionAction,
  AdmissionEvent,
  AdmissionLoad,
  AdmissionRequest,
} from './admission.js';
import type {BatchLimiter} from './batch_controller.js';
import {EngineScheduler} from './engine_scheduler.js';
import type {EngineObserver} from './engine_observer.js';
import type {Scheduler} from './scheduler.js';
import {ServiceScheduler} from './service_scheduler.js';
import {notRun} from '../request/refusal.js';
import type {PoolConfig} from '../version/target_config.js';

type EventKind = AdmissionEvent['kind'];
type EventOf<K extends EventKind> = Extract<AdmissionEvent, {readonly kind: K}>;
type Handlers = {
  readonly [K in EventKind]: (
    event: EventOf<K>,
    now: number,
  ) => readonly AdmissionAction[];
};

/** Schedules the requests of one target. */
export class TargetAdmission implements Admission {
  private readonly engine: EngineScheduler;
  private readonly services = new Map<string, ServiceScheduler>();
  private readonly schedulerByPool = new Map<string, Scheduler>();
  private readonly schedulerById = new Map<string, Scheduler>();
  private isDraining = false;

  private readonly handlers: Handlers = {
    arrived: ({request}, now) => this.arrived(request, now),
    ['first-token']: ({id}, now) =>
      this.schedulerById.get(id)?.firstToken(id, now) ?? [],
    tokens: ({id, count}, now) =>
      this.schedulerById.get(id)?.tokens(id, count, now) ?? [],
    ended: ({id, how}, now) => {
      const scheduler = this.schedulerById.get(id);
      this.schedulerById.delete(id);
      return scheduler?.ended(id, how, now) ?? [];
    },
    abandoned: ({id}, now) => {
      const scheduler = this.schedulerById.get(id);
      const actions = scheduler?.abandoned(id, now) ?? [];
      if (!scheduler?.runs(id)) this.schedulerById.delete(id);
      return actions;
    },
    load: ({load}) => {
      this.engine.engineLoad(load);
      return [];
    },
    config: ({pools, callerWeights}, now) =>
      this.configure(pools, callerWeights, now),
    leaving: (event, now) => {
      this.isDraining = true;
      return this.schedulers().flatMap(scheduler => scheduler.leaving(now));
    },
    tick: (event, now) =>
      this.schedulers().flatMap(scheduler => scheduler.tick(now)),
  };

  /**
   * @param buildBatchLimiter - Builds the policy that bounds batch work at the
   *     model engine. The default bounds it by the measured interference with
   *     online work.
   */
  constructor(buildBatchLimiter?: (observer: EngineObserver) => BatchLimiter) {
    this.engine = new EngineScheduler(buildBatchLimiter);
  }

  handle(event: AdmissionEvent, now: number): readonly AdmissionAction[] {
    const handler = this.handlers[event.kind] as (
      event: AdmissionEvent,
      now: number,
    ) => readonly AdmissionAction[];
    const actions = handler(event, now);
    for (const action of actions) {
      const gone = action.kind === 'refuse' || action.kind === 'give-back';
      if (gone) this.schedulerById.delete(action.id);
    }
    return actions;
  }

  load(): AdmissionLoad {
    const loads = this.schedulers().map(scheduler => scheduler.load());
    return loads.reduce((sum, load) => ({
      onlineRunning: sum.onlineRunning + load.onlineRunning,
      onlineQueued: sum.onlineQueued + load.onlineQueued,
      onlineCapacity: sum.onlineCapacity + load.onlineCapacity,
      batchRunning: sum.batchRunning + load.batchRunning,
      batchQueued: sum.batchQueued + load.batchQueued,
      batchRoom: sum.batchRoom + load.batchRoom,
      prefillTokens: sum.prefillTokens + load.prefillTokens,
      stepMs: Math.max(sum.stepMs, load.stepMs),
    }));
  }

  private arrived(
    request: AdmissionRequest,
    now: number,
  ): readonly AdmissionAction[] {
    const scheduler = this.schedulerByPool.get(request.pool);
    if (scheduler === undefined) {
      const refusal = notRun('no-target', 'This target does not serve that.');
      return [{kind: 'refuse', id: request.id, refusal}];
    }
    this.schedulerById.set(request.id, scheduler);
    return scheduler.arrived(request, now);
  }

  private configure(
    pools: readonly PoolConfig[],
    weights: Readonly<Record<string, number>>,
    now: number,
  ): readonly AdmissionAction[] {
    for (const cfg of pools) {
      this.schedulerByPool.set(cfg.pool, this.schedulerFor(cfg, now));
    }
    const models = pools.filter(({kind}) => kind === 'model');
    if (models.length > 0) this.engine.configure(models, weights);
    for (const scheduler of this.services.values())
      scheduler.configure(pools, weights);
    return [];
  }

  private schedulerFor(cfg: PoolConfig, now: number): Scheduler {
    if (cfg.kind === 'model') return this.engine;
    let scheduler = this.services.get(cfg.pool);
    if (scheduler === undefined) {
      scheduler = new ServiceScheduler(cfg);
      if (this.isDraining) scheduler.leaving(now);
      this.services.set(cfg.pool, scheduler);
    }
    return scheduler;
  }

  private schedulers(): readonly Scheduler[] {
    return [this.engine, ...this.services.values()];
  }
}
