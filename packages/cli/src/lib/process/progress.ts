/** Progress of what takes long, drawn only on a terminal. */
import {Presets, SingleBar} from 'cli-progress';
import type {Terminal} from './verb.js';

/** Progress of one task. */
export interface Progress extends Disposable {
  /** @param done - How much is done. */
  update(done: number): void;
}

const NO_PROGRESS: Progress = {
  update() {},
  [Symbol.dispose]() {},
};

/**
 * @param terminal - Where to draw; nothing is drawn on a pipe.
 * @param what - What is counted.
 * @param total - How much there is to do.
 * @returns A bar that is removed when disposed.
 */
export function startProgress(
  terminal: Terminal,
  what: string,
  total: number,
): Progress {
  if (!terminal.interactive || total === 0) return NO_PROGRESS;
  const bar = new SingleBar(
    {format: `{bar} {value}/{total} ${what}`, clearOnComplete: true},
    Presets.shades_classic,
  );
  bar.start(total, 0);
  return {
    update: done => bar.update(done),
    [Symbol.dispose]: () => bar.stop(),
  };
}
