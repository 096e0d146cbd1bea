/** One run: one kind of work, one fault at one step, and what came of it. */
import {hash32} from '@oathead/core';
import {broken} from '../request/verdict.js';
import type {Verdict} from '../request/verdict.js';
import type {WorkKind} from '../request/work_kind.js';
import {startDeclaredFleet} from './declared_fleet.js';
import {Strike} from './fault.js';
import type {Fault} from './fault.js';
import type {ProofFleet} from './proof_fleet.js';
import type {Step} from './steps.js';

/** How often an item ran, and whether its outcome was recorded. */
export interface ItemCount {
  readonly item: string;
  readonly runs: number;
  readonly recorded: string | undefined;
}

/** What came of one run. */
export interface StoryEnd {
  readonly kind: WorkKind['name'];
  /** Whether the work came to the step, so that the fault struck. */
  readonly struck: boolean;
  readonly verdicts: readonly Verdict[];
  readonly items: readonly ItemCount[];
}

const QUIET_MS = 4_000;
const LIMIT_MS = 240_000;

/** Steps that need something besides the work itself. */
const PREPARE: Readonly<Partial<Record<Step, (fleet: ProofFleet) => void>>> = {
  // A third entry joins in the middle: shares move to it.
  ['hand-over']: fleet => {
    fleet.rowSteps.countsHandOver = true;
    fleet.steps.on('accept', () => void fleet.addEntry());
  },
};

/**
 * @param kind - The kind of work.
 * @param step - The step at which the fault strikes.
 * @param fault - The fault; none where absent.
 * @returns What came of it.
 */
export async function tellStory(
  kind: WorkKind,
  step: Step,
  fault?: Fault,
): Promise<StoryEnd> {
  const seed = hash32(`${kind.name}/${step}/${fault?.name}`);
  using fleet = await startDeclaredFleet({...kind.fleet, seed});
  PREPARE[step]?.(fleet);
  const script = await kind.start(fleet, {cancels: step === 'cancel'});
  let strike = new Strike(fleet, script, {});
  let struck = false;
  fleet.steps.on(step, place => {
    struck = true;
    strike = new Strike(fleet, script, place);
    fault?.strike(strike);
  });
  const verdicts: Verdict[] = [];
  try {
    await fleet.clock.until(script.done, LIMIT_MS);
    await fleet.clock.until(Promise.all(strike.tasks), LIMIT_MS);
    await fleet.clock.advance(QUIET_MS);
    const judged = script.judge(strike.damage);
    verdicts.push(...(await fleet.clock.until(judged, LIMIT_MS)));
  } catch (err) {
    verdicts.push(broken('lost', `no end: ${(err as Error).message}`));
  }
  verdicts.push(...strike.verdicts, ...judgeFleet(fleet));
  return {kind: kind.name, struck, verdicts, items: countItems(fleet)};
}

/** What must hold whatever the work is. */
function judgeFleet({observer}: ProofFleet): readonly Verdict[] {
  return [
    ...observer.thrown.map(err => broken('threw', String(err))),
    ...observer.sentToLeaving.map(item =>
      broken('work sent to a leaving target', item),
    ),
    ...observer.runs
      .filter(({endedAt}) => endedAt === undefined)
      .map(({item}) => broken('kept running', `${item} runs for nobody`)),
  ];
}

function countItems({observer, focus}: ProofFleet): readonly ItemCount[] {
  return [...focus].map(item => ({
    item,
    runs: observer.startsOf(item),
    recorded: observer.recordOf(item)?.state,
  }));
}
