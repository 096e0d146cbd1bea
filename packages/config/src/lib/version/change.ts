/**
 * One change of the configuration: what the log keeps, what nodes pull and
 * what a watch tells.
 */
import type {Resource, ResourceChange, ResourceKind} from '@oathead/core';

/** One change, as the log keeps it. */
export type Change = ResourceChange;

/** What one node knows beyond the revision of another. */
export type ConfigDelta =
  | {readonly kind: 'changes'; readonly changes: readonly Change[]}
  | {
      readonly kind: 'snapshot';
      readonly revision: number;
      readonly resources: readonly Resource[];
    };

/**
 * @param resource - Any resource.
 * @returns What tells it from all others.
 */
export function resourceId(resource: {
  readonly kind: ResourceKind;
  readonly name: string;
}): string {
  return `${resource.kind}/${resource.name}`;
}

/**
 * Replays changes on a list that was read while they happened. Every resource
 * that changed meanwhile ends as its last change left it; the others are as
 * they were all the time. So the result is exact although the list was not.
 *
 * @param resources - Resources, read at any time since the first change.
 * @param changes - All changes since then, in order.
 * @returns The resources as of the last change.
 */
export function replay(
  resources: Iterable<Resource>,
  changes: readonly Change[],
): readonly Resource[] {
  const byId = new Map<string, Resource>();
  for (const resource of resources) byId.set(resourceId(resource), resource);
  for (const {type, resource} of changes) {
    if (type === 'put') byId.set(resourceId(resource), resource);
    else byId.delete(resourceId(resource));
  }
  return [...byId.values()];
}
