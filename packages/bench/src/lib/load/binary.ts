/** One of the project's binaries, started by a bench, and what it uses. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

/** The binaries, by where they stand. */
export const BINARIES = {
  oathead: fileURLToPath(
    new URL('../../../../cli/bin/oathead.js', import.meta.url),
  ),
  target: fileURLToPath(
    new URL('../../../../target/bin/oathead_target.js', import.meta.url),
  ),
  standIns: fileURLToPath(
    new URL('../../../../stand_ins/bin/stand_ins.js', import.meta.url),
  ),
} as const;

/** The kernel's clock ticks of processor time. */
const TICK_MS = 10;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** What a process has used since it started. */
export interface ProcessUse {
  readonly cpuMs: number;
  readonly peakMb: number;
}

/** A running binary. */
export class Binary implements Disposable {
  private readonly child: ChildProcess;

  /**
   * @param script - Its file.
   * @param args - Its arguments.
   * @param nodeArgs - Arguments of Node, such as `--cpu-prof`.
   */
  constructor(
    script: string,
    args: readonly string[],
    nodeArgs: readonly string[] = [],
  ) {
    this.child = spawn(process.execPath, [...nodeArgs, script, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
  }

  /** @returns The port that the process tells on its first line. */
  async port(): Promise<number> {
    for await (const chunk of this.child.stdout!) {
      const line = JSON.parse(String(chunk).split('\n')[0]!) as {
        readonly port: number;
      };
      this.child.stdout!.resume();
      return line.port;
    }
    throw new Error('the process told no port');
  }

  /** @returns What it has used. */
  use(): ProcessUse {
    const stat = readFileSync(`/proc/${this.child.pid}/stat`, 'utf8');
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    return processUse(stat, status);
  }

  /** Asks it to stop, and waits until it has. */
  async stop(): Promise<void> {
    const exited = new Promise(resolve => this.child.once('exit', resolve));
    this.child.kill('SIGTERM');
    await exited;
  }

  [Symbol.dispose](): void {
    this.child.kill('SIGKILL');
  }
}

/**
 * @param stat - `/proc/<pid>/stat`.
 * @param status - `/proc/<pid>/status`.
 * @returns Processor time and peak memory.
 */
export function processUse(stat: string, status: string): ProcessUse {
  // The name may hold anything but ends with the last bracket.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
  return {cpuMs: ticks * TICK_MS, peakMb: peakKb / 1_024};
}
