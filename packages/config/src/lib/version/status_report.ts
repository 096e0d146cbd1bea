/** What `status` answers on one screen. */
import type {Condition, ResourceKind} from '@oathead/core';

/** Who is how far, as counts, with the names of a few that are behind. */
export interface Spread {
  readonly current: number;
  readonly behind: number;
  /** Declared or listed, but not heard of. */
  readonly unknown: number;
  readonly examples: readonly string[];
}

/** A resource with its conditions. */
export interface ResourceStatus {
  readonly kind: ResourceKind;
  readonly name: string;
  readonly conditions: readonly Condition[];
}

/** Refusals of one reason, lately. */
export interface RefusalCount {
  readonly kind: string;
  /** The model or service that was asked for, where one was. */
  readonly pool?: string;
  readonly count: number;
  /** In milliseconds since the Unix epoch. */
  readonly lastAt: number;
}

/** A job that may miss its deadline. */
export interface JobAtRisk {
  readonly caller: string;
  readonly job: string;
  /** In milliseconds since the Unix epoch. */
  readonly dueAt: number;
  readonly done: number;
  readonly items: number;
  readonly reason: string;
}

/** What is declared, what is in force where, what is wrong. */
export interface StatusReport {
  readonly revision: number;
  readonly declared: Readonly<Record<ResourceKind, number>>;
  readonly inForce: {readonly entries: Spread; readonly targets: Spread};
  readonly models: readonly ResourceStatus[];
  /** Names of targets on their way out. */
  readonly leaving: readonly string[];
  /** Versions being rolled out or taken back. */
  readonly rollouts: readonly ResourceStatus[];
  /** Targets that are lost, silent or without engine; the first of many. */
  readonly troubled: readonly ResourceStatus[];
  readonly refusals: readonly RefusalCount[];
  readonly jobsAtRisk: readonly JobAtRisk[];
}
