/** Derives what one target process needs to know from the whole configuration. */
import type {
  ConfigSnapshot,
  ModelSpec,
  PoolConfig,
  TargetConfig,
} from '@oathead/core';

/** The weight that target processes assume for callers they are not told of. */
const DEFAULT_WEIGHT = 1;

/**
 * @param snapshot - The configuration.
 * @param targetName - A declared target.
 * @param blocked - Fingerprints of work that must not run.
 * @returns Its part, or undefined when the target is not declared.
 */
export function targetConfigFor(
  snapshot: ConfigSnapshot,
  targetName: string,
  blocked: readonly string[] = [],
): TargetConfig | undefined {
  const target = snapshot.get('targets', targetName);
  if (!target) return undefined;
  return {
    revision: snapshot.revision,
    pools: target.spec.pools.flatMap(pool => {
      const model = snapshot.get('models', pool);
      return model ? [poolConfig(pool, model.spec)] : [];
    }),
    callerWeights: callerWeights(snapshot),
    blocked,
    leaving: target.spec.leaving,
  };
}

function poolConfig(pool: string, spec: ModelSpec): PoolConfig {
  return {
    pool,
    kind: spec.type,
    ...(spec.version === undefined ? {} : {version: spec.version}),
    batch: spec.batch,
    firstTokenMs: spec.firstTokenMs,
    betweenTokensMs: spec.betweenTokensMs,
    maxOnline: spec.maxOnline,
  };
}

type CallerWeights = TargetConfig['callerWeights'];

/**
 * Each heartbeat to each target asks for these, and finding them means looking
 * at every caller; a snapshot never changes.
 */
const weightsOf = new WeakMap<ConfigSnapshot, CallerWeights>();

function callerWeights(snapshot: ConfigSnapshot): CallerWeights {
  const known = weightsOf.get(snapshot);
  if (known) return known;
  const weights = findCallerWeights(snapshot);
  weightsOf.set(snapshot, weights);
  return weights;
}

/** Only what differs from the default: most of many callers do not. */
function findCallerWeights(snapshot: ConfigSnapshot): CallerWeights {
  return Object.fromEntries(
    snapshot
      .all('callers')
      .filter(({spec}) => spec.weight !== DEFAULT_WEIGHT)
      .map(({name, spec}) => [name, spec.weight]),
  );
}
