/** A fault that strikes while a piece of work is at a step. */
import {sleep} from '@oathead/core';
import type {EntryProcess, TargetProcess} from './processes.js';
import type {ProofFleet} from './proof_fleet.js';
import type {Step, StepPlace} from './steps.js';
import type {Damage, Script, WorkKind} from '../request/work_kind.js';
import type {Verdict} from '../request/verdict.js';

/** One fault that strikes, and what it strikes. */
export class Strike {
  readonly damage: Damage = {
    entryLost: false,
    targetLost: false,
    cancelled: false,
    plannedStop: false,
  };
  /** What the fault itself goes on with; the story ends after it. */
  readonly tasks: Promise<void>[] = [];
  /** What is wrong beyond the work itself. */
  readonly verdicts: Verdict[] = [];

  /**
   * @param fleet - The fleet.
   * @param script - The work.
   * @param place - Where the work is.
   */
  constructor(
    readonly fleet: ProofFleet,
    readonly script: Script,
    readonly place: StepPlace,
  ) {}

  /** The target that the work was sent to, or could be. */
  get target(): TargetProcess {
    const {targets} = this.fleet;
    const {target, process} = this.place;
    const used = this.fleet.steps.lastTarget;
    const id = target ?? used ?? process;
    return targets.find(t => t.id === id) ?? targets[0]!;
  }

  /** The entry that keeps the work. */
  get home(): EntryProcess {
    return this.script.home;
  }

  /** The entry that callers reach first. */
  get entry(): EntryProcess {
    return this.fleet.entries[0]!;
  }

  /** Another entry than the one that is given. */
  other(entry: EntryProcess): EntryProcess {
    return this.fleet.entries.find(e => e !== entry)!;
  }

  /** Does something later. */
  later(delayMs: number, task: () => void | Promise<void>): void {
    const {clock} = this.fleet;
    this.tasks.push(sleep(clock, delayMs).then(task));
  }

  /** Has something done, which the story waits for. */
  run(task: Promise<void>): void {
    this.tasks.push(task);
  }
}

/** A fault, as a row of the matrix. */
export interface Fault {
  readonly name: string;
  /** What happens, in a few words. */
  readonly title: string;
  /** Whether it is two faults together. */
  readonly pair?: boolean;
  /**
   * @param step - The step at which it would strike.
   * @param kind - The kind of work.
   * @returns Why it cannot occur there; undefined when it can.
   */
  impossible?(step: Step, kind: WorkKind): string | undefined;
  /** Lets it happen. */
  strike(strike: Strike): void;
}
