/**
 * Admission at one target: hands each event to the lane of its pool. All models
 * of a target share its engine and so one lane; each plain service has its own.
 */
import type {
  Admission,
  AdmissionAction,
  AdmissionEvent,
  AdmissionLoad,
  AdmissionRequest,
} from './admission.js';
import type {BatchRule} from './batch_controller.js';
import {EngineLane} from './engine_lane.js';
import type {EngineSenses} from './engine_senses.js';
import type {Lane} from './lane.js';
import {ServiceLane} from './service_lane.js';
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

/** Decides what runs when at one target. */
export class EngineAdmission implements Admission {
  private readonly engine: EngineLane;
  private readonly services = new Map<string, ServiceLane>();
  private readonly laneByPool = new Map<string, Lane>();
  private readonly laneById = new Map<string, Lane>();
  private isLeaving = false;

  private readonly handlers: Handlers = {
    arrived: ({request}, now) => this.arrived(request, now),
    ['first-token']: ({id}, now) =>
      this.laneById.get(id)?.firstToken(id, now) ?? [],
    tokens: ({id, count}, now) =>
      this.laneById.get(id)?.tokens(id, count, now) ?? [],
    ended: ({id, how}, now) => {
      const lane = this.laneById.get(id);
      this.laneById.delete(id);
      return lane?.ended(id, how, now) ?? [];
    },
    abandoned: ({id}, now) => {
      const lane = this.laneById.get(id);
      const actions = lane?.abandoned(id, now) ?? [];
      if (!lane?.runs(id)) this.laneById.delete(id);
      return actions;
    },
    load: ({load}) => {
      this.engine.engineLoad(load);
      return [];
    },
    config: ({pools, callerWeights}, now) =>
      this.configure(pools, callerWeights, now),
    leaving: (event, now) => {
      this.isLeaving = true;
      return this.lanes().flatMap(lane => lane.leaving(now));
    },
    tick: (event, now) => this.lanes().flatMap(lane => lane.tick(now)),
  };

  /**
   * @param buildRule - Builds the rule for batch work beside a model engine;
   *     without it, the one that goes by measured harm.
   */
  constructor(buildRule?: (senses: EngineSenses) => BatchRule) {
    this.engine = new EngineLane(buildRule);
  }

  handle(event: AdmissionEvent, now: number): readonly AdmissionAction[] {
    const handler = this.handlers[event.kind] as (
      event: AdmissionEvent,
      now: number,
    ) => readonly AdmissionAction[];
    const actions = handler(event, now);
    for (const action of actions) {
      const gone = action.kind === 'refuse' || action.kind === 'give-back';
      if (gone) this.laneById.delete(action.id);
    }
    return actions;
  }

  load(): AdmissionLoad {
    const loads = this.lanes().map(lane => lane.load());
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
    const lane = this.laneByPool.get(request.pool);
    if (lane === undefined) {
      const refusal = notRun('no-target', 'This target does not serve that.');
      return [{kind: 'refuse', id: request.id, refusal}];
    }
    this.laneById.set(request.id, lane);
    return lane.arrived(request, now);
  }

  private configure(
    pools: readonly PoolConfig[],
    weights: Readonly<Record<string, number>>,
    now: number,
  ): readonly AdmissionAction[] {
    for (const cfg of pools) {
      this.laneByPool.set(cfg.pool, this.laneFor(cfg, now));
    }
    const models = pools.filter(({kind}) => kind === 'model');
    if (models.length > 0) this.engine.configure(models, weights);
    for (const lane of this.services.values()) lane.configure(pools, weights);
    return [];
  }

  private laneFor(cfg: PoolConfig, now: number): Lane {
    if (cfg.kind === 'model') return this.engine;
    let lane = this.services.get(cfg.pool);
    if (lane === undefined) {
      lane = new ServiceLane(cfg);
      if (this.isLeaving) lane.leaving(now);
      this.services.set(cfg.pool, lane);
    }
    return lane;
  }

  private lanes(): readonly Lane[] {
    return [this.engine, ...this.services.values()];
  }
}
