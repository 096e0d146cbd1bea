/** What a bench asks of the processes that it starts. */
import type {SocketBytes} from './socket_bytes.js';

/** An engine of a fleet, in a process of its own or inside a target's. */
export interface EngineSpec {
  readonly stepMs: number;
  readonly maxSequences: number;
}

/** What a process is asked to run, or to tell. */
export type HostRequest =
  | {readonly kind: 'platform'}
  | {readonly kind: 'engines'; readonly engines: readonly EngineSpec[]}
  | {
      readonly kind: 'targets';
      readonly names: readonly string[];
      /** Their engines, in order; inside the process where absent. */
      readonly engineUrls?: readonly string[];
      readonly engine: EngineSpec;
    }
  | {
      readonly kind: 'entries';
      readonly names: readonly string[];
      readonly platformUrl: string;
      readonly operatorKeyHash: string;
      readonly flushMs: number;
      readonly flushCount: number;
    }
  | {readonly kind: 'usage'; readonly collect: boolean};

/** What a process has used since it started. */
export interface Usage {
  readonly cpuMs: number;
  readonly heapBytes: number;
  readonly residentBytes: number;
  readonly sockets: SocketBytes;
  /** When it was read, in milliseconds of the wall clock's pace. */
  readonly atMs: number;
}

/** What a process answers. */
export type HostAnswer =
  | {readonly kind: 'ports'; readonly ports: readonly number[]}
  | {readonly kind: 'usage'; readonly usage: Usage}
  | {readonly kind: 'failed'; readonly message: string};
