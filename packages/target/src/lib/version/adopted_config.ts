/** The configuration that is in force at this target process. */
import type {PoolConfig, TargetConfig} from '@oathead/core';

const EMPTY: TargetConfig = {
  revision: 0,
  pools: [],
  callerWeights: {},
  blocked: [],
};

/** Only ever moves to a higher revision. */
export class AdoptedConfig {
  private current = EMPTY;
  private pools: ReadonlyMap<string, PoolConfig> = new Map();
  private blocked: ReadonlySet<string> = new Set();

  /** What is in force. */
  get config(): TargetConfig {
    return this.current;
  }

  get revision(): number {
    return this.current.revision;
  }

  /**
   * Guards against a revert: an entry that lags, or was paused, offers a
   * configuration that others have long replaced.
   *
   * @param config - What an entry offers.
   * @returns Whether it was adopted.
   */
  offer(config: TargetConfig): boolean {
    if (config.revision <= this.current.revision) return false;
    this.current = config;
    this.pools = new Map(config.pools.map(pool => [pool.pool, pool]));
    this.blocked = new Set(config.blocked);
    return true;
  }

  /**
   * @param name - A model or service.
   * @returns What is declared of it.
   */
  pool(name: string): PoolConfig | undefined {
    return this.pools.get(name);
  }

  /**
   * @param fingerprint - Of some work.
   * @returns Whether it must not run.
   */
  isBlocked(fingerprint: string): boolean {
    return this.blocked.has(fingerprint);
  }
}
