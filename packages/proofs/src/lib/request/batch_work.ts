/** A batch job: items that may be repeated, some that may not, a hopeless one. */
import {sleep} from '@oathead/core';
import type {ProofFleet} from '../process/proof_fleet.js';
import type {EntryProcess} from '../process/processes.js';
import {CALLER, POOLS} from '../process/proof_settings.js';
import {isFinishedStream, refusalOf, send} from './caller.js';
import type {Reply, ScriptRequest} from './caller.js';
import {homeOf} from './home_of.js';
import {PersistentCaller} from './persistent_caller.js';
import {promptOf, streamRequest, textOf} from './stream_work.js';
import {broken} from './verdict.js';
import type {Verdict} from './verdict.js';
import type {Damage, Script, WorkKind} from './work_kind.js';

const JOB = 'night';
const REPEATABLE = 7;
const ONCE_ONLY = 2;
const TOKENS = 16;
const HOPELESS = 'item-hopeless';
const POLL_MS = 400;
const MAX_POLLS = 250;
const PROBE_MS = 700;

/** One line of the results. */
interface ResultLine {
  readonly item: string;
  readonly state: string;
  readonly answer?: {readonly text?: string; readonly body?: string};
  readonly refusal?: {readonly ran: string; readonly kind: string};
}

const ITEMS: readonly string[] = [
  ...[...Array(REPEATABLE).keys()].map(i => `item-${i}`),
  HOPELESS,
  ...[...Array(ONCE_ONLY).keys()].map(i => `once-${i}`),
];

/** A batch job. */
export const BATCH: WorkKind = {
  name: 'batch',
  title: 'a batch job',
  fleet: {entries: 2, modelTargets: 2, serviceTargets: 2},
  without: {},
  async start(fleet, {cancels}) {
    for (const item of ITEMS) {
      fleet.focus.add(item);
      fleet.batchItems.add(item);
    }
    fleet.jobs.set(`${CALLER}/${JOB}`, ITEMS);
    const home = await homeOf(fleet, `chunk/${CALLER}/${JOB}/0`);
    return new BatchScript(fleet, home ?? fleet.first, cancels);
  },
};

class BatchScript implements Script {
  readonly done: Promise<void>;
  private readonly caller: PersistentCaller;
  private readonly probes: PersistentCaller[] = [];
  private cancelledAt: number | undefined;
  private readonly cancels: Promise<void>[] = [];
  private isOver = false;

  constructor(
    private readonly fleet: ProofFleet,
    readonly home: EntryProcess,
    cancels: boolean,
  ) {
    this.caller = new PersistentCaller(fleet, ITEMS[0]!, submission(), reply =>
      reply.status === 202 ? 'finished' : 'again',
    );
    if (cancels) fleet.steps.on('mid-stream', () => this.cancel(fleet.first));
    void this.probe();
    this.done = this.run();
  }

  resend(entry: EntryProcess): void {
    this.caller.resend(entry);
  }

  cancel(entry: EntryProcess): void {
    this.cancels.push(this.cancelUntilTaken(entry));
  }

  async judge(damage: Damage): Promise<readonly Verdict[]> {
    const {fleet} = this;
    const live = fleet.entries.filter(e => e.host.alive && !e.stopping);
    const read = await Promise.all(live.map(entry => this.results(entry)));
    return [
      ...this.caller.verdicts(),
      ...this.probes.flatMap(probe => probe.verdicts()),
      ...read.flatMap(reply => this.judgeResults(reply, damage)),
      ...this.judgeRuns(),
      ...this.judgeProbes(damage),
    ];
  }

  private async run(): Promise<void> {
    const {fleet} = this;
    await this.caller.persist(fleet.first);
    for (let n = 0; n < MAX_POLLS; n++) {
      const entry = fleet.entries[n % fleet.entries.length]!;
      const req = {method: 'GET', path: `/v1/batch-jobs/${JOB}`};
      const reply = await send(fleet, entry, req);
      if (isFinal(reply)) break;
      if (reply.end !== 'unreachable') await sleep(fleet.clock, POLL_MS);
    }
    this.isOver = true;
    await Promise.all(this.cancels);
    await this.readUntilWhole();
  }

  private async readUntilWhole(): Promise<void> {
    const {fleet} = this;
    for (let n = 0; n < MAX_POLLS; n++) {
      const reply = await this.results(
        fleet.entries[n % fleet.entries.length]!,
      );
      if (reply.status === 200 && reply.end === 'ended' && !refusalOf(reply)) {
        return;
      }
      if (reply.end !== 'unreachable') await sleep(fleet.clock, POLL_MS);
    }
  }

  private results(entry: EntryProcess): Promise<Reply> {
    const {fleet} = this;
    const item = ITEMS[0]!;
    const req = {method: 'GET', path: `/v1/batch-jobs/${JOB}/results`};
    return send(fleet, entry, req, undefined, {
      onAccept: () =>
        fleet.reach(
          fleet.steps.reached.has('answer') ? 'read back' : 'answer',
          item,
          entry.id,
        ),
    });
  }

  private async cancelUntilTaken(first: EntryProcess): Promise<void> {
    const {fleet} = this;
    const req = {method: 'POST', path: `/v1/batch-jobs/${JOB}/cancel`};
    let at = fleet.entries.indexOf(first);
    for (let n = 0; n < MAX_POLLS; n++) {
      const entry = fleet.entries[at++ % fleet.entries.length]!;
      const reply = await send(fleet, entry, req, undefined, {
        onAccept: () => fleet.reach('cancel', ITEMS[0]!, entry.id),
      });
      if (reply.status === 200 && reply.end === 'ended') {
        this.cancelledAt ??= fleet.clock.now();
        return;
      }
      if (reply.end !== 'unreachable') await sleep(fleet.clock, POLL_MS);
    }
  }

  /** A branch asks now and then while the job runs. */
  private async probe(): Promise<void> {
    const {fleet} = this;
    for (let n = 0; !this.isOver && n < MAX_POLLS; n++) {
      const probe = new PersistentCaller(
        fleet,
        `probe-${n}`,
        streamRequest(`probe-${n}`),
        reply => (isFinishedStream(reply) ? 'finished' : 'again'),
      );
      this.probes.push(probe);
      await probe.persist(fleet.entries[n % fleet.entries.length]!);
      await sleep(fleet.clock, PROBE_MS);
    }
  }

  private judgeResults(reply: Reply, damage: Damage): readonly Verdict[] {
    if (reply.status !== 200 || reply.end !== 'ended' || refusalOf(reply)) {
      const why = refusalOf(reply)?.kind ?? reply.end;
      return [broken('lost', `the results cannot be read: ${why}`)];
    }
    const lines = reply.text
      .trim()
      .split('\n')
      .map(line => JSON.parse(line) as ResultLine);
    const got = new Map(lines.map(line => [line.item, line]));
    const doubled = lines.length > got.size ? [broken('doubled', 'lines')] : [];
    return [
      ...doubled,
      ...ITEMS.flatMap(item => this.judgeItem(item, got.get(item), damage)),
    ];
  }

  private judgeItem(
    item: string,
    line: ResultLine | undefined,
    damage: Damage,
  ): readonly Verdict[] {
    if (!line) return [broken('lost', `${item} has no line`)];
    const {state, answer, refusal} = line;
    const starts = this.fleet.observer.startsOf(item);
    if (refusal?.ran === 'not-run' && starts > 0) {
      return [broken('untrue not-run', `${item}: ${refusal.kind}`)];
    }
    const cancelled = this.cancelledAt !== undefined;
    if (cancelled && (state === 'cancelled' || state === 'unknown')) return [];
    if (item === HOPELESS) {
      return state === 'failed' ? [] : [broken('lost', `${item} is ${state}`)];
    }
    if (state === 'done') return this.judgeAnswer(item, answer);
    const isOnce = item.startsWith('once');
    const excused = isOnce && (damage.entryLost || damage.targetLost);
    if (state === 'unknown' && excused) return [];
    const why = refusal ? ` (${refusal.kind})` : '';
    return [broken('lost', `${item} is ${state}${why}`)];
  }

  private judgeAnswer(
    item: string,
    answer: ResultLine['answer'],
  ): readonly Verdict[] {
    const right = item.startsWith('once')
      ? answer?.body?.includes(`\\"id\\":\\"${item}\\"`)
      : answer?.text === textOf(item, TOKENS);
    return right
      ? []
      : [broken('wrong answer', `${item}: ${JSON.stringify(answer)}`)];
  }

  private judgeRuns(): readonly Verdict[] {
    const {observer} = this.fleet;
    const {cancelledAt = Infinity} = this;
    return ITEMS.flatMap(item => {
      const runs = observer.runs.filter(run => run.item === item);
      const recordedAt = observer.recordOf(item)?.at ?? Infinity;
      const verdicts: Verdict[] = [];
      if (item.startsWith('once') && runs.length > 1) {
        verdicts.push(broken('ran twice', `${item} ran ${runs.length} times`));
      }
      if (runs.some(run => run.startedAt > recordedAt)) {
        verdicts.push(broken('doubled', `${item} ran after it was recorded`));
      }
      if (runs.some(run => run.startedAt > cancelledAt + CANCEL_GRACE_MS)) {
        verdicts.push(broken('kept running', `${item} after the cancel`));
      }
      if (observer.rewritten.includes(item)) {
        verdicts.push(broken('doubled', `${item} was recorded twice`));
      }
      return verdicts;
    });
  }

  private judgeProbes(damage: Damage): readonly Verdict[] {
    const {heldUp} = this.fleet.observer;
    const held = heldUp.map(by => broken('held up by batch', `by ${by}`));
    const cut = this.probes
      .flatMap(({sents}) => sents)
      .flatMap(({reply}) => {
        const refusal = refusalOf(reply);
        const isCut = reply.end === 'hung' || refusal?.ran === 'may-have-run';
        if (!isCut || damage.entryLost) return [];
        return [broken('lost', `a branch got ${refusal?.kind ?? reply.end}`)];
      });
    return [...held, ...cut];
  }
}

/** A cancel takes effect everywhere within so long, in milliseconds. */
const CANCEL_GRACE_MS = 3_000;

function isFinal(reply: Reply): boolean {
  if (reply.status !== 200 || reply.end !== 'ended') return false;
  const {state} = JSON.parse(reply.text) as {readonly state: string};
  return state === 'done' || state === 'cancelled';
}

function submission(): ScriptRequest {
  const items = ITEMS.map(id => {
    if (id.startsWith('once')) return onceItem(id);
    const prompt =
      id === HOPELESS ? `${id} [[impossible]]` : promptOf(id, TOKENS);
    return {id, completion: {model: POOLS.model, max_tokens: 64, prompt}};
  });
  return {
    method: 'POST',
    path: '/v1/batch-jobs',
    body: JSON.stringify({id: JOB, items}),
  };
}

function onceItem(id: string) {
  const work = {
    kind: 'call',
    service: POOLS.service,
    method: 'POST',
    path: 'call-out',
    body: JSON.stringify({id}),
  };
  return {id, idempotent: false, work};
}
