/** Resources as a table. */
import type {ResourceView} from '@oathead/config';
import type {Condition} from '@oathead/core';
import {spanText} from './ages.js';
import {table} from './table.js';

/**
 * @param resources - Resources.
 * @param now - Milliseconds since the Unix epoch.
 * @returns Their table.
 */
export function resourceTable(
  resources: readonly ResourceView[],
  now: number,
): string {
  return table(
    ['kind', 'name', 'version', 'conditions'],
    resources.map(({kind, name, resourceVersion, status}) => [
      kind,
      name,
      resourceVersion,
      conditionsText(status.conditions, now),
    ]),
  );
}

/**
 * @param conditions - Conditions of one resource.
 * @param now - Milliseconds since the Unix epoch.
 * @returns Those that hold, are not known, or say that something is missing.
 */
export function conditionsText(
  conditions: readonly Condition[],
  now: number,
): string {
  return conditions
    .filter(({type, status}) => status !== 'false' || WANTED.has(type))
    .map(({type, status, reason, since}) => {
      const said = STATUS_TEXT[status](type);
      return `${said} (${reason}, ${spanText(now - since)})`;
    })
    .join(', ');
}

/** Conditions that are worth a word when they do not hold. */
const WANTED: ReadonlySet<string> = new Set(['InForce', 'Ready', 'Configured']);

const STATUS_TEXT: Readonly<
  Record<Condition['status'], (type: string) => string>
> = {
  true: type => type,
  false: type => `not ${type}`,
  unknown: type => `${type}?`,
};
