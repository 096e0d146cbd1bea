/** Interfaces through which a serving process uses the platform it runs on. */
import type {
  Clock,
  Counters,
  EventLog,
  Latencies,
  Outcome,
  QuotaTolerance,
  Random,
} from '@oathead/core';
import type {
  BatchApi,
  RoutingTable,
  Target,
  TargetProtocol,
} from '@oathead/gateway';
import type {JobIntake, JobReader, StoreLimits} from '@oathead/jobs';
import type {Tracer} from '@opentelemetry/api';
import type {RowStore, UnreadableRow, VersionedRow} from '@oathead/stores';
import type {ServingOptions} from './serving_options.js';

/** An address that this process listens on. */
export interface ListenAddress {
  readonly ip: string;
  readonly port: number;
}

/** A table of the store that is written outside of the serving processes. */
export interface SourceTable<T> {
  readonly table: string;
  /**
   * @returns The decoded row; undefined if it does not belong to this system.
   */
  decode(row: VersionedRow): Outcome<T, UnreadableRow> | undefined;
}

/** Operations on batch jobs for callers. */
export interface JobOperations {
  readonly reader: JobReader;
  /**
   * Cancels a job.
   *
   * @param jobId - ID of the job.
   * @returns `ended` if it is closed now; `unsure` if the store did not confirm
   *   it.
   */
  cancel(jobId: string): Promise<'ended' | 'not-found' | 'unsure'>;
  /** Accepts a job; repeated submissions are accepted once. */
  readonly submit: JobIntake['accept'];
}

/** Names and addresses of this process. */
export interface ServingIdentity {
  /** Name of the host; it stays the same across restarts. */
  readonly host: string;
  readonly dataCentre: string;
  readonly front: ListenAddress;
  readonly ready: ListenAddress;
  /** Address of the RPC server for peers. */
  readonly control: ListenAddress;
  /** Address that receives the load reports of other hosts. */
  readonly loads: ListenAddress;
}

/** Settings that may change while the process runs. */
export interface ServingTunables {
  /** RPC addresses of some hosts; some of them may be gone. */
  readonly seeds: readonly string[];
  /** How long a closed job stays readable, in milliseconds. */
  readonly closedJobRetentionMs: number;
  /** Maximum duration of a graceful shutdown, in milliseconds. */
  readonly shutdownTimeoutMs: number;
  /**
   * Time after which the entry of a crashed target expires, in milliseconds.
   */
  readonly targetExpiryMs: number;
  /**
   * How long callers are admitted by API key after the configuration was last
   * known to be the newest, in milliseconds; undefined means without limit.
   */
  readonly keyLeaseMs: number | undefined;
  /** Tolerances within which quotas of client accounts are enforced. */
  readonly quotaTolerance: QuotaTolerance;
}

/** What the platform provides to a serving process. */
export interface ServingPlatform {
  readonly identity: ServingIdentity;
  readonly options: ServingOptions;
  /** @returns The current settings; called at each use. */
  tunables(): ServingTunables;
  readonly store: RowStore;
  readonly storeLimits: StoreLimits;
  /** Writes that the store takes from all hosts together, per second. */
  readonly storeWritesPerS: number;
  readonly protocol: TargetProtocol;
  readonly config: SourceTable<RoutingTable>;
  readonly targets: SourceTable<Target>;
  /** Path of the readiness endpoint. */
  readonly readyPath: string;
  /**
   * Creates the batch interface for callers, in the platform's format.
   *
   * @param operations - Operations on batch jobs.
   * @returns The interface.
   */
  createBatchApi(operations: JobOperations): BatchApi;
}

/** Dependencies that all components of the process use. */
export interface ServingContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly latencies: Latencies;
  /** Records a span for each hop; a no-op if traces are off. */
  readonly tracer: Tracer;
}
