/** The faults of the matrix: one row each. */
import type {Fault, Strike} from './fault.js';
import {
  crashEngine,
  killEntry,
  killTarget,
  loseTargetHost,
  pausePastLease,
  raceOperators,
  sendCrashingInput,
  silenceConnections,
  stopEntry,
  stopTarget,
  storeDown,
} from './fault_actions.js';
import type {Step} from './steps.js';
import type {WorkKind} from '../request/work_kind.js';

const OUTAGE_MS = 12_000;
const SLOW_MS = 1_500;
const SLOW_FOR_MS = 8_000;
const LOST_ANSWERS = 2;
const LATE_MS = 2_500;
const LATE_FOR_MS = 4_000;
const OVERTAKEN_MS = 120;

const PLAIN_RESEND = 'a resend without a key is another request';
const NOT_ENDED = 'the end comes with the answer';
const NO_ENGINE = 'a plain service is no engine; an input crashes engines';

const AT_THE_END: ReadonlySet<Step> = new Set(['answer', 'read back']);

function resend(step: Step, kind: WorkKind): string | undefined {
  return kind.name === 'online' ? PLAIN_RESEND : undefined;
}

/** All faults, in the order of the rows. */
export const FAULTS: readonly Fault[] = [
  {
    name: 'target process dies',
    title: 'the target process is killed and started anew beside its engine',
    strike: s => killTarget(s, s.target),
  },
  {
    name: 'engine dies',
    title: 'the engine or service breaks off all that it runs',
    strike: s => crashEngine(s, s.target),
  },
  {
    name: 'entry dies',
    title: 'the entry that took the request is killed just after the step',
    strike: s => killEntry(s, s.entry),
  },
  {
    name: 'home entry dies',
    title: 'the entry that keeps the key or chunk is killed',
    impossible: (step, kind) =>
      kind.name === 'online'
        ? 'a request without a key has no home'
        : undefined,
    strike: s => killEntry(s, s.home),
  },
  {
    name: 'resend, same entry',
    title: 'the caller sends it again to the same entry',
    impossible: resend,
    strike: s => s.script.resend(s.entry),
  },
  {
    name: 'resend, other entry',
    title: 'the caller sends it again to the other entry',
    impossible: resend,
    strike: s => s.script.resend(s.other(s.entry)),
  },
  {
    name: 'resend, at once to both',
    title: 'the caller sends it again to both entries at the same time',
    impossible: resend,
    strike: s => {
      for (const entry of s.fleet.entries) s.script.resend(entry);
    },
  },
  {
    name: 'resend, after the end',
    title: 'the caller sends it again after it has had the answer',
    impossible: (step, kind) =>
      resend(step, kind) ?? (AT_THE_END.has(step) ? undefined : NOT_ENDED),
    strike: s =>
      s.later(1_000, () => {
        for (const entry of s.fleet.entries) s.script.resend(entry);
      }),
  },
  {
    name: 'store down',
    title: 'the stores refuse everything for a while',
    strike: s => storeDown(s, OUTAGE_MS),
  },
  {
    name: 'store slow',
    title: 'each call of the stores takes long for a while',
    strike: s => {
      const fault = {kind: 'slow', delayMs: SLOW_MS} as const;
      const rule = s.fleet.faults.add({fault});
      s.later(SLOW_FOR_MS, () => rule[Symbol.dispose]());
    },
  },
  {
    name: 'write lands, answer lost',
    title: 'the next writes take effect, and their answers are lost',
    strike: s => {
      s.fleet.faults.add({
        fault: {kind: 'answer-lost', afterMs: 200},
        matches: call => call.writes,
        times: LOST_ANSWERS,
      });
    },
  },
  {
    name: 'holder paused past its lease',
    title: 'the entry that keeps the work is paused, then goes on',
    strike: s => pausePastLease(s, s.home),
  },
  {
    name: 'host list stale',
    title: 'a target host is gone without a word and stays listed as live',
    strike: s => loseTargetHost(s, s.target),
  },
  {
    name: 'connections silent',
    title: 'open connections go silent for good while new ones work',
    strike: s => silenceConnections(s.fleet),
  },
  {
    name: 'crashing input resent',
    title: 'beside it, an input that crashes engines is sent again and again',
    impossible: (step, kind) =>
      kind.fleet.modelTargets === 0 ? NO_ENGINE : undefined,
    strike: s => s.run(sendCrashingInput(s)),
  },
  {
    name: 'two operators racing',
    title: 'two operators change one model from what both have read',
    strike: s => s.run(raceOperators(s)),
  },
  {
    name: 'late answers',
    title: 'for a while everything from the targets comes late',
    strike: s => delayAnswers(s),
  },
  {
    name: 'out-of-order answers',
    title: 'calls overtake each other on all connections',
    strike: s => overtake(s),
  },
  {
    name: 'planned stop of entry',
    title: 'the entry that took the request is told to stop',
    strike: s => stopEntry(s, s.entry),
  },
  {
    name: 'planned stop of home entry',
    title: 'the entry that keeps the key or chunk is told to stop',
    impossible: (step, kind) =>
      kind.name === 'online'
        ? 'a request without a key has no home'
        : undefined,
    strike: s => stopEntry(s, s.home),
  },
  {
    name: 'planned stop of target',
    title: 'the target process is told to stop',
    strike: s => stopTarget(s, s.target),
  },
  {
    name: 'store down + home entry dies',
    title: 'the stores go down and the entry that keeps the work is killed',
    pair: true,
    strike: s => {
      storeDown(s, OUTAGE_MS);
      killEntry(s, s.home);
    },
  },
  {
    name: 'connections silent + planned stop of target',
    title: 'connections go silent as the target is told to stop',
    pair: true,
    strike: s => {
      silenceConnections(s.fleet);
      stopTarget(s, s.target);
    },
  },
  {
    name: 'connections silent + planned stop of entry',
    title: 'connections go silent as the entry is told to stop',
    pair: true,
    strike: s => {
      silenceConnections(s.fleet);
      stopEntry(s, s.entry);
    },
  },
  {
    name: 'holder paused + cancel',
    title: 'the entry that keeps the work is paused; the caller cancels',
    pair: true,
    strike: s => {
      pausePastLease(s, s.home);
      s.damage.cancelled = true;
      s.script.cancel(s.other(s.home));
    },
  },
];

function delayAnswers({fleet}: Strike): void {
  const until = fleet.clock.now() + LATE_FOR_MS;
  const isLate = () => fleet.clock.now() < until;
  for (const {host} of fleet.targets) {
    for (const connection of fleet.network.between(host.name)) {
      connection.delayMs = (frame, from) =>
        from === 'far' && isLate() ? LATE_MS : 0;
    }
  }
}

function overtake({fleet}: Strike): void {
  for (const {host} of [...fleet.entries, ...fleet.targets]) {
    for (const connection of fleet.network.between(host.name)) {
      connection.overtaking = true;
      connection.delayMs = ({call}) => (call % 2 === 0 ? 0 : OVERTAKEN_MS);
    }
  }
}
