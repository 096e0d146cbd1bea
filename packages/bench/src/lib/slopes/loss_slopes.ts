/** What the stores see when entries die, are replaced, or are cut off. */
import {countedFleet, disturbance, endFleet} from './counted_fleet.js';
import type {CountedFleet, Disturbance} from './counted_fleet.js';
import {slopeOf} from './slope.js';
import type {Point, Slope} from './slope.js';

const FLEETS = [4, 8, 16, 32] as const;
const LOST_TOGETHER = [1, 2, 4, 8] as const;
const TOGETHER_FLEET = 32;
const LOOK_S = 90;
const CUT_S = 120;
const STOP_MS = 60_000;

/** @returns All slopes of this kind. */
export async function lossSlopes(): Promise<readonly Slope[]> {
  return [
    ...(await overFleets('loss', 'an entry lost', loseOne)),
    ...(await overFleets('restart', 'an entry replaced as planned', replace)),
    ...(await lossTogether()),
    ...(await cutOff()),
  ];
}

type Trial = (counted: CountedFleet, entries: number) => Promise<Disturbance>;

async function loseOne(
  counted: CountedFleet,
  entries: number,
): Promise<Disturbance> {
  counted.fleet.kill('entry-1');
  return disturbance(counted, LOOK_S, () => entries - 1);
}

async function replace(
  counted: CountedFleet,
  entries: number,
): Promise<Disturbance> {
  const {fleet} = counted;
  let stopped = false;
  const stopping = fleet.entries.get('entry-1')!.stop(STOP_MS);
  void stopping.then(() => (stopped = true));
  fleet.startEntry('entry-new');
  return disturbance(counted, LOOK_S, () => entries + (stopped ? 0 : 1));
}

async function overFleets(
  id: string,
  what: string,
  trial: Trial,
): Promise<readonly Slope[]> {
  const seen: {readonly x: number; readonly y: Disturbance}[] = [];
  for (const entries of FLEETS) {
    const counted = await countedFleet(entries);
    seen.push({x: entries, y: await trial(counted, entries)});
    endFleet(counted.fleet);
  }
  return disturbanceSlopes(id, `${what}, per entry in the fleet`, seen);
}

/** As at the loss of a rack or a data centre. */
async function lossTogether(): Promise<readonly Slope[]> {
  const seen: {readonly x: number; readonly y: Disturbance}[] = [];
  for (const lost of LOST_TOGETHER) {
    const counted = await countedFleet(TOGETHER_FLEET);
    for (let i = 0; i < lost; i++) counted.fleet.kill(`entry-${i}`);
    const up = TOGETHER_FLEET - lost;
    seen.push({x: lost, y: await disturbance(counted, LOOK_S, () => up)});
    endFleet(counted.fleet);
  }
  const what = `entries lost together, per entry lost (of ${TOGETHER_FLEET})`;
  return disturbanceSlopes('together', what, seen);
}

/** As when a region loses its link to the one where the store is. */
async function cutOff(): Promise<readonly Slope[]> {
  const seen: {readonly x: number; readonly y: Disturbance}[] = [];
  for (const cut of LOST_TOGETHER.map(lost => 2 * lost)) {
    const counted = await countedFleet(TOGETHER_FLEET);
    const {fleet} = counted;
    for (let i = 0; i < cut; i++) fleet.cutOff.add(`entry-${i}`);
    fleet.clock.after(CUT_S * 1_000, () => fleet.cutOff.clear());
    const up = TOGETHER_FLEET - cut;
    const y = await disturbance(counted, CUT_S + LOOK_S, second =>
      second < CUT_S ? up : TOGETHER_FLEET,
    );
    seen.push({x: cut, y});
    endFleet(fleet);
  }
  const what = `entries cut off from the store for ${CUT_S} s, per entry (of ${TOGETHER_FLEET})`;
  return disturbanceSlopes('cut', what, seen);
}

function disturbanceSlopes(
  id: string,
  what: string,
  seen: readonly {readonly x: number; readonly y: Disturbance}[],
): readonly Slope[] {
  const points = (of: (d: Disturbance) => number): readonly Point[] =>
    seen.map(({x, y}) => ({x, y: of(y)}));
  return [
    slopeOf(
      `store.${id}.reads`,
      `table: extra reads for ${what}`,
      'reads',
      points(({reads}) => reads),
    ),
    slopeOf(
      `store.${id}.writes`,
      `table: extra writes for ${what}`,
      'writes',
      points(({writes}) => writes),
    ),
    slopeOf(
      `store.${id}.busiest.reads`,
      `table: all reads in the busiest second, ${what}`,
      'reads/s',
      points(({busiestReads}) => busiestReads),
    ),
    slopeOf(
      `store.${id}.busiest.writes`,
      `table: all writes in the busiest second, ${what}`,
      'writes/s',
      points(({busiestWrites}) => busiestWrites),
    ),
  ];
}
