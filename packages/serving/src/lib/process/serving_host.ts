/** What a serving process learns from where it runs, through its adapter. */
import type {
  Clock,
  Counters,
  EventLog,
  Outcome,
  QuotaTolerance,
  Random,
} from '@oathead/core';
import type {
  BatchFront,
  RoutingTable,
  Target,
  TargetProtocol,
} from '@oathead/gateway';
import type {JobIntake, JobReader, StoreLimits} from '@oathead/jobs';
import type {Tracer} from '@opentelemetry/api';
import type {RowStore, UnreadableRow, VersionedRow} from '@oathead/stores';
import type {ServingOptions} from './serving_options.js';

/** An address of this process. */
export interface ListenAddress {
  readonly ip: string;
  readonly port: number;
}

/** A table of the store that somebody else writes. */
export interface SourceTable<T> {
  readonly table: string;
  /** @returns What a row says; undefined where it is none of ours. */
  decode(row: VersionedRow): Outcome<T, UnreadableRow> | undefined;
}

/** What callers can do with batch jobs. */
export interface JobCalls {
  readonly reader: JobReader;
  /** @returns What came of ending a job. */
  end(jobId: string): Promise<'ended' | 'not-found' | 'unsure'>;
  /** Accepts a job once, however often it is handed in. */
  readonly handIn: JobIntake['accept'];
}

/** Addresses, names and bounds of this process. */
export interface ServingIdentity {
  /** The host's name, the same after each start. */
  readonly host: string;
  readonly dataCentre: string;
  readonly front: ListenAddress;
  readonly ready: ListenAddress;
  /** Where other hosts' questions are answered. */
  readonly control: ListenAddress;
  /** Where other hosts send their loads. */
  readonly loads: ListenAddress;
}

/** Settings that may change while the process runs. */
export interface ServingTunables {
  /** Where some hosts' questions are answered; they may be gone. */
  readonly seeds: readonly string[];
  /** How long a closed job stays readable, in milliseconds. */
  readonly keepJobsMs: number;
  /** How long a planned stop may take, in milliseconds. */
  readonly stopMs: number;
  /** Until the entry of a target that crashed is off the list, in milliseconds. */
  readonly targetLapseMs: number;
  /** For how long callers are admitted by key after the configuration was last known
   * to be the newest, in milliseconds; undefined: without a bound. */
  readonly keyLeaseMs: number | undefined;
  /** How exactly quotas of client accounts are kept. */
  readonly quotaTolerance: QuotaTolerance;
}

/** The adapter's side of a serving process. */
export interface ServingHost {
  readonly identity: ServingIdentity;
  readonly options: ServingOptions;
  /** @returns What the settings say now; they are asked for at each use. */
  tunables(): ServingTunables;
  readonly store: RowStore;
  readonly storeLimits: StoreLimits;
  readonly protocol: TargetProtocol;
  readonly config: SourceTable<RoutingTable>;
  readonly targets: SourceTable<Target>;
  /** The path at which readiness is asked for. */
  readonly readyPath: string;
  /** @returns The batch interface as callers speak it. */
  batchFront(calls: JobCalls): BatchFront;
}

/** What every part of the process uses. */
export interface ServingContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly counters: Counters;
  /** Records a span for each hop; one that records nothing where traces are off. */
  readonly tracer: Tracer;
}
