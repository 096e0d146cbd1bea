/** The figures of the capacity page, each by the slopes it is made of. */
import type {Figure} from './capacity.js';

/** The planned size. */
export const DESIGN = {
  entries: 340,
  targets: 3_100,
  entriesPerTarget: 8,
  requestsPerSecond: 3_100,
  tokensPerSecond: 960_000,
  jobsPerDay: 2_400,
  itemsPerDay: 11_000_000,
  accounts: 38_000,
  changesPerDay: 7_200,
  lostEntriesPerDay: 6,
  replacedEntriesPerDay: 48,
  shares: 64,
} as const;

const SECONDS_PER_DAY = 86_400;
/** Targets of one entry. */
const SUBSET = (DESIGN.targets * DESIGN.entriesPerTarget) / DESIGN.entries;
const RESOURCES = 2 * DESIGN.accounts + DESIGN.targets;
const THOUSAND = 1_000;
/** Streams in flight: tokens a second at 40 ms between them. */
const STREAMS = DESIGN.tokensPerSecond * 0.04;

const PER_SECOND_OF_DAY = (perDay: number) => perDay / SECONDS_PER_DAY;

/** Every figure, in the order of the page. */
export const FIGURES: readonly Figure[] = [
  {
    role: 'entry',
    what: 'control, processor time, fleet idle',
    terms: [
      {slope: 'entry.target.idle.cpu', size: SUBSET, base: true, scale: 0.1},
      {slope: 'entry.peer.idle.cpu', size: 0, scale: 0.1},
    ],
    unit: '% of a core',
    carriedBy: 'a heartbeat a second to each target of the subset',
    budget: 4,
  },
  {
    role: 'entry',
    what: 'control, processor time, fleet at the peak',
    terms: [
      {slope: 'entry.target.busy.cpu', size: SUBSET, base: true, scale: 0.1},
    ],
    unit: '% of a core',
    carriedBy: 'heartbeats and pushed load reports, at most 6 a second each',
    budget: 4,
  },
  {
    role: 'entry',
    what: 'control, bytes, fleet idle',
    terms: [
      {slope: 'entry.target.idle.in', size: SUBSET},
      {slope: 'entry.target.idle.out', size: SUBSET},
      {slope: 'entry.peer.idle.in', size: 16, base: true},
      {slope: 'entry.peer.idle.out', size: 16, base: true},
    ],
    unit: 'KB/s',
    carriedBy: 'heartbeats; gossip asks two entries each half second',
    budget: 25,
  },
  {
    role: 'entry',
    what: 'control, bytes, fleet at the peak',
    terms: [
      {slope: 'entry.target.busy.in', size: SUBSET},
      {slope: 'entry.target.busy.out', size: SUBSET},
      {slope: 'entry.peer.idle.in', size: 16, base: true},
      {slope: 'entry.peer.idle.out', size: 16, base: true},
    ],
    unit: 'KB/s',
    carriedBy: 'load reports as differences, 10 KB/s of each target at most',
    budget: 25,
  },
  {
    role: 'entry',
    what: 'its own seconds without a target that answers',
    terms: [
      {
        slope: 'entry.tick',
        size: (DESIGN.entries * DESIGN.targets) / THOUSAND,
        base: true,
        scale: 0.1,
      },
    ],
    unit: '% of a core',
    carriedBy: 'the subset, kept until entries or targets change',
    budget: 4,
  },
  {
    role: 'entry',
    what: 'one configuration change adopted (a pause of the event loop)',
    terms: [
      {slope: 'entry.change.cpu', size: RESOURCES / THOUSAND, base: true},
    ],
    unit: 'ms',
    carriedBy: 'the snapshot is replaced as a whole',
  },
  {
    role: 'entry',
    what: 'configuration changes, processor time',
    terms: [
      {
        slope: 'entry.change.cpu',
        size: RESOURCES / THOUSAND,
        base: true,
        scale: PER_SECOND_OF_DAY(DESIGN.changesPerDay) * 0.1,
      },
    ],
    unit: '% of a core',
    carriedBy: 'one adoption each 12 s',
    budget: 4,
  },
  {
    role: 'entry',
    what: 'configuration held',
    terms: [{slope: 'entry.resource.memory', size: RESOURCES / THOUSAND}],
    unit: 'MB',
    carriedBy: 'every resource in every entry',
    budget: 256,
  },
  {
    role: 'entry',
    what: 'open streams at the peak, memory',
    terms: [
      {
        slope: 'entry.stream.memory',
        size: STREAMS / DESIGN.entries,
        scale: 1 / 1_024,
      },
    ],
    unit: 'MB',
    carriedBy: 'bounded by maxConcurrent',
  },
  {
    role: 'entry',
    what: 'requests and tokens at the peak (its share, not control)',
    terms: [
      {
        slope: 'entry.request.cpu',
        size: DESIGN.requestsPerSecond / DESIGN.entries,
        scale: 0.1,
      },
      {
        slope: 'entry.token.cpu',
        size: DESIGN.tokensPerSecond / DESIGN.entries,
        scale: 0.1,
      },
    ],
    unit: '% of a core',
    carriedBy: 'one frame a token and stream',
    budget: 100,
  },
  {
    role: 'target process',
    what: 'control, processor time',
    terms: [
      {
        slope: 'target.entry.idle.cpu',
        size: DESIGN.entriesPerTarget,
        base: true,
        scale: 0.1,
      },
    ],
    unit: '% of a core',
    carriedBy: 'probes of the engine, heartbeats of eight entries',
    budget: 4,
  },
  {
    role: 'target process',
    what: 'control, bytes',
    terms: [
      {slope: 'target.entry.idle.in', size: DESIGN.entriesPerTarget},
      {slope: 'target.entry.idle.out', size: DESIGN.entriesPerTarget},
    ],
    unit: 'KB/s',
    carriedBy: 'heartbeats; reports under load come on top, 10 KB/s at most',
    budget: 25,
  },
  {
    role: 'target process',
    what: 'requests and tokens at the peak (its share, not control)',
    terms: [
      {
        slope: 'target.request.cpu',
        size: DESIGN.requestsPerSecond / DESIGN.targets,
        scale: 0.1,
      },
      {
        slope: 'target.token.cpu',
        size: DESIGN.tokensPerSecond / DESIGN.targets,
        scale: 0.1,
      },
    ],
    unit: '% of a core',
    carriedBy: 'one frame a token and stream',
    budget: 100,
  },
  {
    role: 'table',
    what: 'reads, ordinary second',
    terms: [
      {slope: 'store.idle.reads', size: DESIGN.entries},
      {
        slope: 'store.change.reads',
        size: DESIGN.entries,
        base: true,
        scale: PER_SECOND_OF_DAY(DESIGN.changesPerDay),
      },
      {
        slope: 'store.job.reads',
        size: PER_SECOND_OF_DAY(DESIGN.itemsPerDay) / THOUSAND,
      },
      {
        slope: 'store.restart.reads',
        size: DESIGN.entries,
        base: true,
        scale: PER_SECOND_OF_DAY(DESIGN.replacedEntriesPerDay),
      },
      {
        slope: 'store.loss.reads',
        size: DESIGN.entries,
        base: true,
        scale: PER_SECOND_OF_DAY(DESIGN.lostEntriesPerDay),
      },
    ],
    unit: 'reads/s',
    carriedBy: 'one poll of the head row an entry and second',
    budget: 2_000,
  },
  {
    role: 'table',
    what: 'writes, ordinary second',
    terms: [
      {slope: 'store.idle.writes', size: DESIGN.entries},
      {
        slope: 'store.job.writes',
        size: PER_SECOND_OF_DAY(DESIGN.itemsPerDay) / THOUSAND,
      },
      {
        slope: 'store.change.writes',
        size: 0,
        base: true,
        scale: PER_SECOND_OF_DAY(DESIGN.changesPerDay),
      },
    ],
    unit: 'writes/s',
    carriedBy: 'one lease an entry; groups of answers; chunks of items',
    budget: 400,
  },
  {
    role: 'table',
    what: 'writes of non-idempotent keyed requests, if one in ten is',
    terms: [
      {
        slope: 'store.non-idempotent.writes',
        size: DESIGN.requestsPerSecond / 10,
        base: true,
      },
    ],
    unit: 'writes/s',
    carriedBy: 'a claim before each is sent; outcomes in groups',
    budget: 400,
  },
  {
    role: 'table',
    what: 'reads of one configuration change, in one second',
    terms: [{slope: 'store.change.reads', size: DESIGN.entries, base: true}],
    unit: 'reads',
    carriedBy: 'each entry pulls the change from the log',
    budget: 2_000,
  },
  {
    role: 'table',
    what: 'reads for one entry lost',
    terms: [{slope: 'store.loss.reads', size: DESIGN.entries, base: true}],
    unit: 'reads',
    carriedBy: 'each entry reads the directory row again',
    budget: 2_000,
  },
  {
    role: 'table',
    what: 'bytes of the directory row',
    terms: [
      {
        slope: 'members.bytes',
        size: DESIGN.entries,
        base: true,
        scale: 1 / 1_024,
      },
    ],
    unit: 'KB',
    carriedBy: 'all entries and shares in one row',
  },
  {
    role: 'host list',
    what: 'reads',
    terms: [{slope: 'store.idle.hosts', size: DESIGN.entries}],
    unit: 'reads/s',
    carriedBy: 'each entry reads the whole list each two seconds',
  },
];
