/** Load as an engine reports it: sampled now and then, told with a lag. */
import {invariant, type EngineLoad} from '@oathead/core';
import type {EngineModelOptions} from './engine_options.js';

/** The part of a load report that the engine model knows. */
export type ModelLoad = Omit<EngineLoad, 'versions'>;

/** Load at one moment. */
export type LoadSample = Omit<ModelLoad, 'ageMs'>;

/** Samples of a load that are kept until they are old enough to be told. */
export class LoadSamples {
  private samples: {at: number; load: LoadSample}[] = [];
  private nextAt = 0;

  /** @param options - Interval and lag. */
  constructor(
    private readonly options: Pick<
      EngineModelOptions,
      'loadIntervalMs' | 'loadLagMs'
    >,
  ) {}

  /**
   * Takes the samples that were due by `now`. Call it before the load changes.
   *
   * @param load - The load since the last change.
   * @param now - Milliseconds.
   */
  record(load: () => LoadSample, now: number): void {
    if (now < this.nextAt) return;
    const {loadIntervalMs, loadLagMs} = this.options;
    const kept = Math.ceil(loadLagMs / loadIntervalMs) + 1;
    const last = Math.floor(now / loadIntervalMs) * loadIntervalMs;
    const first = Math.max(this.nextAt, last - kept * loadIntervalMs);
    const value = load();
    for (let at = first; at <= last; at += loadIntervalMs)
      this.samples.push({at, load: value});
    this.samples = this.samples.slice(-kept - 1);
    this.nextAt = last + loadIntervalMs;
  }

  /** @returns The newest sample that is old enough, with its age. */
  report(now: number): ModelLoad {
    const newest = this.samples.findLast(
      s => s.at <= now - this.options.loadLagMs,
    );
    const sample = newest ?? this.samples[0];
    invariant(sample, 'a load is recorded before it is reported');
    return {...sample.load, ageMs: now - sample.at};
  }
}
