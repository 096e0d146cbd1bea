/** A call of a plain service that may run only once, such as a call-out. */
import {sleep} from '@oathead/core';
import type {EntryProcess} from '../process/processes.js';
import type {ProofFleet} from '../process/proof_fleet.js';
import {CALLER, POOLS} from '../process/proof_settings.js';
import {refusalOf} from './caller.js';
import type {Reply, ScriptRequest} from './caller.js';
import {keyAt} from './home_of.js';
import {KeyedResult} from './keyed_result.js';
import {PersistentCaller} from './persistent_caller.js';
import type {Next} from './persistent_caller.js';
import {broken} from './verdict.js';
import type {Verdict} from './verdict.js';
import type {Damage, Script, WorkKind} from './work_kind.js';

const ITEM = 'item-once';
const COME_BACK_MS = 1_000;
/** Sends that may end without an answer before the caller believes it. */
const MAX_UNKNOWN = 6;

/** @returns The call, under a key. */
export function callRequest(item: string, key: string): ScriptRequest {
  return {
    method: 'POST',
    path: `/v1/services/${POOLS.service}/decide`,
    headers: {'idempotency-key': key, 'oathead-idempotent': 'false'},
    body: JSON.stringify({id: item}),
  };
}

/** A call that may run only once; the entry it is sent to keeps its key. */
export const ONCE: WorkKind = {
  name: 'once',
  title: 'a call that may run only once',
  fleet: {entries: 2, modelTargets: 0, serviceTargets: 2},
  without: {'first token': 'a call of a plain service has no tokens'},
  async start(fleet, {cancels}) {
    const home = fleet.first;
    const n = await keyAt(fleet, home, i => `${CALLER}/call-${i}`);
    fleet.focus.add(ITEM);
    return new CallScript(fleet, home, `call-${n}`, cancels);
  },
};

class CallScript implements Script {
  readonly done: Promise<void>;
  private readonly caller: PersistentCaller;
  private readonly result: KeyedResult;
  private unknown = 0;

  constructor(
    private readonly fleet: ProofFleet,
    readonly home: EntryProcess,
    private readonly key: string,
    cancels: boolean,
  ) {
    this.caller = this.createCaller();
    this.result = new KeyedResult(fleet, ITEM, key);
    if (cancels) fleet.steps.on('mid-stream', () => this.cancel());
    this.done = this.run();
  }

  resend(entry: EntryProcess): void {
    this.caller.resend(entry);
  }

  cancel(): void {
    this.fleet.reach('cancel', ITEM);
    this.caller.leave();
  }

  async judge(damage: Damage): Promise<readonly Verdict[]> {
    const {caller, fleet} = this;
    const runs = fleet.observer.startsOf(ITEM);
    return [
      ...caller.verdicts(),
      ...this.forgotten(),
      ...(runs > 1 ? [broken('ran twice', `${ITEM} ran ${runs} times`)] : []),
      ...(await this.judgeAnswer(damage)),
    ];
  }

  private async run(): Promise<void> {
    const {fleet, caller} = this;
    await caller.persist(fleet.first);
    if (caller.left) {
      await sleep(fleet.clock, COME_BACK_MS);
      const back = this.createCaller();
      await back.persist(fleet.first);
      caller.sents.push(...back.sents);
    }
    if (caller.answer) await this.result.readUntilThere();
  }

  private createCaller(): PersistentCaller {
    const req = callRequest(ITEM, this.key);
    return new PersistentCaller(this.fleet, ITEM, req, reply =>
      this.decide(reply),
    );
  }

  private decide(reply: Reply): Next {
    if (reply.end !== 'ended') return 'again';
    if (reply.status === 200) return 'finished';
    if (refusalOf(reply)?.ran === 'may-have-run') this.unknown++;
    return this.unknown > MAX_UNKNOWN ? 'finished' : 'again';
  }

  /** Of a call that may run only once, "not run" is said of its key. */
  private forgotten(): readonly Verdict[] {
    return this.caller.sents.flatMap(({reply, startsBefore}) => {
      const refusal = refusalOf(reply);
      if (refusal?.ran !== 'not-run' || startsBefore === 0) return [];
      const how = `${ITEM} had run: ${refusal.kind} from ${reply.entry}`;
      return [broken('untrue not-run', how)];
    });
  }

  /** At most once: the end may be unknown where what ran it was lost. */
  private async judgeAnswer(damage: Damage): Promise<readonly Verdict[]> {
    const {answer} = this.caller;
    if (!answer) {
      if (damage.entryLost || damage.targetLost) return [];
      const last = this.caller.sents.at(-1)?.reply;
      const why = last && (refusalOf(last)?.kind ?? last.end);
      return [broken('lost', `${ITEM} ended as ${why}`)];
    }
    const {body} = JSON.parse(answer.text) as {readonly body: string};
    const right = body === JSON.stringify({id: ITEM});
    return [
      ...(right ? [] : [broken('wrong answer', answer.text)]),
      ...(await this.result.judge(answer.text)),
    ];
  }
}
