/** Streams of completions: plain ones, and those with a key. */
import {sleep} from '@oathead/core';
import {engineText} from '@oathead/stand-ins';
import type {EntryProcess} from '../process/processes.js';
import type {ProofFleet} from '../process/proof_fleet.js';
import {CALLER, POOLS} from '../process/proof_settings.js';
import {isFinishedStream, refusalOf, streamedText} from './caller.js';
import type {Reply, ScriptRequest} from './caller.js';
import {keyAt} from './home_of.js';
import {KeyedResult} from './keyed_result.js';
import {PersistentCaller} from './persistent_caller.js';
import type {Next} from './persistent_caller.js';
import {broken} from './verdict.js';
import type {Verdict} from './verdict.js';
import type {Damage, Script, WorkKind} from './work_kind.js';

const FLEET = {entries: 2, modelTargets: 2, serviceTargets: 0} as const;
const MAX_TOKENS = 64;
const COME_BACK_MS = 1_000;
const NO_ROW = 'a request that may be repeated claims nothing';

/** @returns The prompt of an item. */
export function promptOf(item: string, tokens = 12): string {
  return `${item} review the file [[length:${tokens}]]`;
}

/** @returns The text that any engine gives to an item. */
export function textOf(item: string, tokens = 12): string {
  return engineText({
    kind: 'completion',
    model: POOLS.model,
    input: {kind: 'prompt', prompt: promptOf(item, tokens)},
    maxTokens: MAX_TOKENS,
  }).text;
}

/** @returns A stream of a completion for an item. */
export function streamRequest(
  item: string,
  headers: Readonly<Record<string, string>> = {},
): ScriptRequest {
  return {
    method: 'POST',
    path: '/v1/completions',
    headers,
    body: JSON.stringify({
      model: POOLS.model,
      prompt: promptOf(item),
      max_tokens: MAX_TOKENS,
      stream: true,
    }),
  };
}

function decideStream(reply: Reply): Next {
  return reply.end === 'ended' && isFinishedStream(reply)
    ? 'finished'
    : 'again';
}

/** A plain stream. */
export const ONLINE: WorkKind = {
  name: 'online',
  title: 'a plain stream',
  fleet: FLEET,
  without: {
    claim: NO_ROW,
    'record outcome': 'an answer without a key is not kept',
    'read back': 'an answer without a key is not kept',
    'hand-over': 'a request without a key belongs to no share',
  },
  async start(fleet, {cancels}) {
    const item = 'item-online';
    fleet.focus.add(item);
    return new StreamScript(
      fleet,
      item,
      streamRequest(item),
      fleet.first,
      cancels,
    );
  },
};

/** A stream with a key, sent to an entry that is not the home of the key. */
export const KEYED: WorkKind = {
  name: 'keyed',
  title: 'a stream with a key',
  fleet: FLEET,
  without: {claim: NO_ROW},
  async start(fleet, {cancels}) {
    const home = fleet.entries[1]!;
    const keyOf = (n: number) => `${CALLER}/key-${n}`;
    const n = await keyAt(fleet, home, keyOf);
    const item = 'item-keyed';
    fleet.focus.add(item);
    const req = streamRequest(item, {'idempotency-key': `key-${n}`});
    return new StreamScript(fleet, item, req, home, cancels, `key-${n}`);
  },
};

/** One stream on its way. */
class StreamScript implements Script {
  readonly done: Promise<void>;
  private readonly caller: PersistentCaller;
  private readonly result: KeyedResult | undefined;

  constructor(
    private readonly fleet: ProofFleet,
    private readonly item: string,
    private readonly req: ScriptRequest,
    readonly home: EntryProcess,
    cancels: boolean,
    key?: string,
  ) {
    this.caller = new PersistentCaller(fleet, item, req, decideStream);
    this.result =
      key === undefined ? undefined : new KeyedResult(fleet, item, key);
    if (cancels) fleet.steps.on('mid-stream', () => this.cancel());
    this.done = this.run();
  }

  resend(entry: EntryProcess): void {
    this.caller.resend(entry);
  }

  cancel(): void {
    this.fleet.reach('cancel', this.item);
    this.caller.leave();
  }

  async judge(damage: Damage): Promise<readonly Verdict[]> {
    return [
      ...this.caller.verdicts(),
      ...this.caller.sents.flatMap(({reply}) => this.judgeReply(reply, damage)),
      ...(await this.judgeKept()),
    ];
  }

  private async run(): Promise<void> {
    const {fleet, item, req, caller} = this;
    await caller.persist(fleet.first);
    if (!this.result) return;
    if (caller.left) {
      // Whoever hung up comes back for the answer.
      await sleep(fleet.clock, COME_BACK_MS);
      const back = new PersistentCaller(fleet, item, req, decideStream);
      await back.persist(fleet.first);
      caller.sents.push(...back.sents);
    }
    await this.result.readUntilThere();
  }

  private judgeReply(reply: Reply, damage: Damage): readonly Verdict[] {
    const {item} = this;
    if (isFinishedStream(reply) && streamedText(reply) !== textOf(item)) {
      return [broken('wrong answer', `${item}: ${streamedText(reply)}`)];
    }
    const refusal = refusalOf(reply);
    const isCut = reply.end === 'hung' || refusal?.ran === 'may-have-run';
    if (!isCut && !(reply.end === 'broken' && damage.plannedStop)) return [];
    if (damage.entryLost) return [];
    const how = `${item}: ${refusal?.kind ?? reply.end} from ${reply.entry}`;
    return [broken(damage.plannedStop ? 'cut by a planned stop' : 'lost', how)];
  }

  private async judgeKept(): Promise<readonly Verdict[]> {
    const {caller, item, fleet, result} = this;
    const answer = caller.sents.find(({reply}) =>
      isFinishedStream(reply),
    )?.reply;
    if (!answer) {
      if (caller.left && !result) return [];
      return [broken('lost', `${item} was never answered`)];
    }
    if (!result) return [];
    const again = fleet.observer.runs.filter(
      run => run.item === item && run.startedAt > answer.endedAt,
    );
    return [
      ...again.map(() =>
        broken('doubled', `${item} ran again after its answer`),
      ),
      ...(await result.judge(textOf(item))),
    ];
  }
}
