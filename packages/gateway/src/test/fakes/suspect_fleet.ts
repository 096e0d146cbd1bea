/**
 * Hosts that share what they know of crashes through a store, in virtual time.
 */
import {failure, NO_COUNTERS, type EventLog} from '@oathead/core';
import {MemoryRowStore, type RowStore, type TableUpdate} from '@oathead/stores';
import {CrashRecords} from '../../lib/process/crash_records.js';
import {CrashSuspects} from '../../lib/process/crash_suspects.js';
import {PromptSuspects} from '../../lib/process/prompt_suspects.js';
import {SUSPECT_TABLE} from '../../lib/process/suspect_table.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {CrashCheck} from '../../lib/request/crash_check.js';
import type {ExchangeOutcome} from '../../lib/request/exchange.js';
import type {
  JudgedRequest,
  RunEvidence,
} from '../../lib/request/run_evidence.js';
import {FakeClock} from './fake_clock.js';

/** Time after which the entry of a crashed target expires, in milliseconds. */
export const EXPIRY_MS = 3600;
/** Interval between two reads of the list and of the store, in milliseconds. */
export const STEP_MS = 100;

/** A request that all hosts have in each step, and that gets through. */
export const SOUND: JudgedRequest = {
  fingerprint: 'sound',
  prompt: {service: 's', sharedParts: ['first']},
};

/** The end of a run under which its target has crashed. */
export const CRASHED: ExchangeOutcome = {
  kind: 'broken',
  reason: 'UND_ERR_SOCKET',
  sentInvalidData: false,
};
/** The end of a run that got through. */
export const STREAMED = {
  kind: 'streamed',
  head: {status: 200, headers: {}},
} as const satisfies ExchangeOutcome;

/** Hosts that share a store and read its changes in each step. */
export class SuspectFleet {
  readonly clock = new FakeClock();
  readonly store = new MemoryRowStore(this.clock);
  /** Whether the store answers. */
  isStoreUp = true;
  readonly hosts: SuspectHost[] = [];
  /** Names of the events that hosts have logged. */
  readonly logged: string[] = [];

  add(): SuspectHost {
    const host = new SuspectHost(this);
    this.hosts.push(host);
    return host;
  }

  /** Lets time pass; a sound run gets through at these hosts in each step. */
  async run(ms: number, soundAt = this.hosts): Promise<void> {
    for (let i = 0; i < ms; i += STEP_MS) {
      this.clock.advance(STEP_MS);
      for (const host of this.hosts) {
        host.directory.recordListRead();
        if (soundAt.includes(host)) host.complete(SOUND);
      }
      await settlePromises();
      for (const host of this.hosts) await host.read();
    }
  }

  /** @returns How each host treats a request, in order. */
  async refusals(request: JudgedRequest): Promise<ReadonlyArray<string>> {
    const refusals = this.hosts.map(host => host.refusal(request));
    return Promise.all(refusals);
  }
}

/** One host. */
export class SuspectHost {
  readonly records: CrashRecords;
  readonly crashSuspects: CrashSuspects;
  readonly promptSuspects: PromptSuspects;
  readonly directory: TargetDirectory;
  private version = 0;

  constructor(private readonly fleet: SuspectFleet) {
    const {clock, store} = fleet;
    const log: EventLog = {event: name => void fleet.logged.push(name)};
    this.directory = new TargetDirectory({clock, log});
    const context = {
      store: this.guarded(store),
      clock,
      log,
      counters: NO_COUNTERS,
      directory: this.directory,
      expiryMs: () => EXPIRY_MS,
    };
    const records = new CrashRecords(context);
    this.records = records;
    this.promptSuspects = new PromptSuspects({...context, records});
    this.crashSuspects = new CrashSuspects({
      ...context,
      records,
      explanationOf: target => this.promptSuspects.explanationOf(target),
    });
  }

  /** Reads what has changed in the store since the last time. */
  async read(): Promise<void> {
    if (!this.fleet.isStoreUp) return;
    const read = await this.fleet.store.changes(SUSPECT_TABLE, this.version, 0);
    if (!read.ok) return;
    const {changes, version} = read.value;
    this.version = version;
    const put = changes.flatMap(one => (one.kind === 'put' ? [one.row] : []));
    const removed = changes.flatMap(one =>
      one.kind === 'removed'
        ? [{...one.ref, version: one.version, value: new Uint8Array()}]
        : [],
    );
    this.update({put, removed, storeTimeMs: 0});
  }

  /** Reads the rows that the store holds now, as a host does that starts. */
  async readRows(): Promise<void> {
    const query = {table: SUSPECT_TABLE, partition: ''};
    const read = await this.fleet.store.read(query);
    if (!read.ok) return;
    const {rows, version} = read.value;
    this.version = version;
    this.update({put: rows, removed: [], storeTimeMs: 0});
  }

  private update(update: TableUpdate): void {
    this.crashSuspects.update(update);
    this.promptSuspects.update(update);
  }

  /** A run of the request breaks off at a target as a crash breaks it off. */
  crash(request: JudgedRequest, target: string): void {
    this.beginRun(request).recordOutcome(CRASHED, {id: target});
  }

  /** A run of the request gets through. */
  complete(request: JudgedRequest): void {
    this.beginRun(request).recordOutcome(STREAMED, {id: 'alive'});
  }

  /** @returns What a run of the request shows that begins now. */
  beginRun(request: JudgedRequest): RunEvidence {
    return this.checkOf(request).beginRun();
  }

  /** @returns Why the request must not run; 'none' if it may. */
  async refusal(request: JudgedRequest): Promise<string> {
    return (await this.checkOf(request).refusal()) ?? 'none';
  }

  /** @returns The check of a request that a caller has sent. */
  checkOf(request: JudgedRequest): CrashCheck {
    const {crashSuspects, promptSuspects} = this;
    return new CrashCheck({crashSuspects, promptSuspects}, request);
  }

  private guarded(store: MemoryRowStore): RowStore {
    return new Proxy<RowStore>(store, {
      get: (row, name: keyof RowStore) => {
        if (name !== 'transact') return row[name].bind(row);
        return async (...args: Parameters<RowStore['transact']>) =>
          this.fleet.isStoreUp
            ? store.transact(...args)
            : failure({kind: 'refused', message: 'away'});
      },
    });
  }
}

/** Lets pending calls to the store end. */
export async function settlePromises(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}
