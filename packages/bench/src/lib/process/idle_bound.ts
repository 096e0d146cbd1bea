/**
 * The idle bound: the most batch tokens that any policy could get out of the
 * capacity that online work leaves unused.
 *
 * An engine does most per millisecond when it is full. So the bound is what full
 * engines generate from batch items alone, measured with the engine's model,
 * less the share of the time that the online work, as it was done without
 * batch, takes of a full engine: its prefilled tokens at the prefill rate, and
 * each generated token at one step of a full engine over its streams. Latency,
 * yielding and ramp-up do not count: no policy can exceed it, and one that
 * cares for latency has to stay below.
 */
import {DEFAULT_ENGINE_OPTIONS, EngineModel} from '@oathead/stand-ins';
import type {EngineModelOptions} from '@oathead/stand-ins';
import type {Figures} from './figures.js';
import type {Trace} from './traces.js';

const MS_PER_SECOND = 1000;
const SATURATED_MS = 120_000;
/** Left out at the beginning, until the engine is in a steady state. */
const SETTLE_MS = 30_000;
const QUEUED = 16;

/** The bound of one trace, over its whole time. */
export interface IdleBound {
  readonly batchTokens: number;
  readonly batchItems: number;
  /** Share of the engines' time that online work took. */
  readonly onlineShare: number;
}

/**
 * @param trace - The trace.
 * @param alone - The figures of its online work alone.
 * @returns The most batch work that any policy could do beside it.
 */
export function idleBound(trace: Trace, alone: Figures): IdleBound {
  const options = {...DEFAULT_ENGINE_OPTIONS, ...trace.engine};
  const time = capacityMs(trace);
  const share = Math.min(1, onlineMs(options, alone) / time);
  const full = saturated(trace);
  return {
    batchTokens: full.tokensPerMs * time * (1 - share),
    batchItems: full.itemsPerMs * time * (1 - share),
    onlineShare: share,
  };
}

/** Milliseconds that the targets could work at their full speed. */
function capacityMs({targets, durationMs, faults}: Trace): number {
  const lost = faults.map(
    ({from, until, slowdown}) => (until - from) * (1 - 1 / (slowdown ?? 1)),
  );
  return lost.reduce((sum, ms) => sum - ms, targets * durationMs);
}

/**
 * @param options - How the engine behaves.
 * @param figures - What online work was done.
 * @returns Milliseconds that the work takes of full engines.
 */
export function onlineMs(
  options: EngineModelOptions,
  figures: Figures,
): number {
  const {maxSequences, stepMs, stepMsPerSequence} = options;
  const fullStepMs = stepMs + maxSequences * stepMsPerSequence;
  const perPrompt = MS_PER_SECOND / options.prefillTokensPerSecond;
  return (
    figures.onlinePrefilled * perPrompt +
    figures.onlineTokens * (fullStepMs / maxSequences)
  );
}

function saturated(trace: Trace): {
  readonly tokensPerMs: number;
  readonly itemsPerMs: number;
} {
  const model = new EngineModel(trace.engine);
  const streams = model.options.maxSequences + QUEUED;
  let next = 0;
  const submit = (now: number) => {
    const size = trace.batch[next % trace.batch.length]!;
    model.submit({id: `item-${next}`, ...size}, now);
    next += 1;
  };
  for (let i = 0; i < streams; i++) submit(0);
  let tokens = 0;
  let items = 0;
  for (let now = 0; now < SATURATED_MS; now = model.nextStepAt()!) {
    const counts = now > SETTLE_MS;
    for (const {kind} of model.advance(now)) {
      if (kind === 'token' && counts) tokens += 1;
      if (kind !== 'done') continue;
      if (counts) items += 1;
      submit(now);
    }
  }
  const measuredMs = SATURATED_MS - SETTLE_MS;
  return {tokensPerMs: tokens / measuredMs, itemsPerMs: items / measuredMs};
}
