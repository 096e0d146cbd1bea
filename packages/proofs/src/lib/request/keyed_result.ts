/** The kept answer of a key, as its caller reads it again. */
import {sleep} from '@oathead/core';
import type {ProofFleet} from '../process/proof_fleet.js';
import {refusalOf, send} from './caller.js';
import type {Reply} from './caller.js';
import {broken} from './verdict.js';
import type {Verdict} from './verdict.js';

const PAUSE_MS = 500;
const MAX_READS = 60;

interface KeptAnswer {
  readonly answer: {readonly text?: string; readonly body?: string};
}

/** Reads the kept answer of one key. */
export class KeyedResult {
  private readonly replies: Reply[] = [];

  /**
   * @param fleet - The fleet.
   * @param item - Names the work.
   * @param key - The key.
   */
  constructor(
    private readonly fleet: ProofFleet,
    private readonly item: string,
    private readonly key: string,
  ) {}

  /** Reads it from one entry after another until it is there. */
  async readUntilThere(): Promise<void> {
    const {entries, clock} = this.fleet;
    for (let n = 0; n < MAX_READS; n++) {
      const reply = await this.read(entries[n % entries.length]!);
      if (reply.status === 200 && reply.end === 'ended') return;
      if (reply.end !== 'unreachable') await sleep(clock, PAUSE_MS);
    }
  }

  /** @returns What is wrong with what live entries tell now, and told. */
  async judge(expected: string): Promise<readonly Verdict[]> {
    const {item} = this;
    const live = this.fleet.entries.filter(
      ({host, stopping}) => host.alive && !stopping,
    );
    const now = await Promise.all(live.map(entry => this.read(entry)));
    const verdicts = now.flatMap(reply => {
      if (reply.status === 200 && reply.end === 'ended') return [];
      const why = refusalOf(reply)?.kind ?? reply.end;
      return [
        broken('lost', `${item} cannot be read at ${reply.entry}: ${why}`),
      ];
    });
    const wrong = [...this.replies]
      .filter(({status, end}) => status === 200 && end === 'ended')
      .filter(({text}) => textIn(text) !== expected)
      .map(({text}) => broken('wrong answer', `${item} reads ${text}`));
    return [...verdicts, ...wrong];
  }

  private async read(entry: Parameters<typeof send>[1]): Promise<Reply> {
    const {fleet, item, key} = this;
    const req = {method: 'GET', path: `/v1/results/${key}`};
    const reply = await send(fleet, entry, req, undefined, {
      onAccept: () => fleet.reach('read back', item, entry.id),
    });
    this.replies.push(reply);
    return reply;
  }
}

function textIn(body: string): string | undefined {
  const {answer} = JSON.parse(body) as KeptAnswer;
  return answer.text ?? answer.body;
}
