/**
 * The policies that the bench compares: oathead's own, and simpler ones that
 * stand for what others do.
 */
import {TargetAdmission} from '@oathead/core';
import type {
  Admission,
  AdmissionAction,
  AdmissionEvent,
  AdmissionLoad,
  BatchLimiter,
  EngineObserver,
  PoolConfig,
} from '@oathead/core';

/** One policy of the bench. */
export interface Policy {
  readonly name: string;
  /** Whether batch work is offered. */
  readonly batch: boolean;
  admission(pool: PoolConfig): Admission;
}

const EVERYTHING = 96;
const NO_ACTIONS: readonly AdmissionAction[] = [];

/**
 * Batch streams up to a fixed number; none is ever preempted. All else, online
 * work above all, is treated as oathead does, so that only this differs.
 */
class FixedCap implements BatchLimiter {
  constructor(
    private readonly senses: EngineObserver,
    private readonly cap: number,
  ) {}

  stepLimitMs(cfg: PoolConfig): number {
    return cfg.betweenTokensMs;
  }

  maxStreams(): number {
    return this.cap;
  }

  admits(): boolean {
    return this.senses.running.batch.running < this.cap;
  }

  streamsToPreempt(): number {
    return 0;
  }

  surplusStreams(): number {
    return 0;
  }

  prefillChunkTokens(): number {
    return 0;
  }
}

/** Starts batch work while the engine's own, lagging report shows room. */
class HoldBack implements BatchLimiter {
  constructor(
    private readonly senses: EngineObserver,
    private readonly most: number,
  ) {}

  stepLimitMs(cfg: PoolConfig): number {
    return cfg.betweenTokensMs;
  }

  maxStreams(): number {
    const {load} = this.senses.onlineLimiter;
    const busy = load === undefined || load.running + load.waiting >= this.most;
    return busy ? 0 : this.most;
  }

  admits(): boolean {
    return this.senses.running.batch.running < this.maxStreams();
  }

  streamsToPreempt(): number {
    return 0;
  }

  surplusStreams(): number {
    return 0;
  }

  prefillChunkTokens(): number {
    return 0;
  }
}

/** Hands everything to the engine as it comes, online work too. */
class OpenAdmission implements Admission {
  private batch = 0;
  private online = 0;
  private readonly batchIds = new Set<string>();

  handle(event: AdmissionEvent): readonly AdmissionAction[] {
    if (event.kind === 'arrived') {
      const {id, class: kind} = event.request;
      if (kind === 'batch') {
        this.batchIds.add(id);
        this.batch += 1;
      } else {
        this.online += 1;
      }
      return [{kind: 'start', id}];
    }
    if (event.kind === 'ended') {
      if (this.batchIds.delete(event.id)) this.batch -= 1;
      else this.online -= 1;
    }
    return NO_ACTIONS;
  }

  load(): AdmissionLoad {
    return {
      onlineRunning: this.online,
      onlineQueued: 0,
      onlineCapacity: EVERYTHING,
      batchRunning: this.batch,
      batchQueued: 0,
      batchRoom: Math.max(0, EVERYTHING - this.batch),
      prefillTokens: 0,
      stepMs: 0,
    };
  }
}

function configured(
  pool: PoolConfig,
  buildRule?: (senses: EngineObserver) => BatchLimiter,
): Admission {
  const admission = new TargetAdmission(buildRule);
  const pools = [pool];
  admission.handle({kind: 'config', pools, callerWeights: {}}, 0);
  return admission;
}

/** Oathead's own policy. */
export const OATHEAD: Policy = {
  name: 'oathead',
  batch: true,
  admission: pool => configured(pool),
};

/** Weights for which the frontier of one trace is shown. */
export const WEIGHTS: readonly number[] = [0, 0.25, 0.5, 0.75, 1];

/**
 * @param throughputWeight - From 0 to 1, in place of what the trace declares.
 * @returns Oathead's own policy with that weight.
 */
export function weighted(throughputWeight: number): Policy {
  return {
    name: `weight-${throughputWeight}`,
    batch: true,
    admission: pool =>
      configured({...pool, batch: {...pool.batch, throughputWeight}}),
  };
}

/** Online work alone: what harm is measured against. */
export const ALONE: Policy = {
  name: 'alone',
  batch: false,
  admission: pool => configured(pool),
};

/** The engine takes everything as it comes. */
export const EVERYTHING_AS_IT_COMES: Policy = {
  name: 'everything',
  batch: true,
  admission: () => new OpenAdmission(),
};

/** Batch streams that a lagging report may show beside online ones. */
const HOLD_BACK_RUNNING = 32;

/** Batch work is held back while the engine's own report shows it busy. */
export const HOLD_BACK: Policy = {
  name: 'hold-back',
  batch: true,
  admission: pool =>
    configured(pool, senses => new HoldBack(senses, HOLD_BACK_RUNNING)),
};

/**
 * @param streams - Batch streams at once.
 * @returns A policy with that fixed cap.
 */
export function fixedCap(streams: number): Policy {
  return {
    name: `cap-${streams}`,
    batch: true,
    admission: pool =>
      configured(pool, senses => new FixedCap(senses, streams)),
  };
}

/** Caps of the sweep. */
export const CAPS: readonly number[] = [1, 2, 4, 8, 16, 24, 32, 48, 60];
