/** The rows that the configuration is kept in, and how they are written. */
import {InvariantError} from '@oathead/core';
import type {Resource, ResourceKind, SpecByKind} from '@oathead/core';
import type {Head} from '@oathead/membership';
import type {Json, Row} from '@oathead/stores';
import type {Change} from '../version/change.js';
import {SPEC_SCHEMAS, isResourceKind} from '../version/spec_schema.js';

const REVISION_DIGITS = 12;

/** Prefix of all resource rows. */
export const RESOURCE_PREFIX = 'config/';

/** Prefix of the change log. */
export const CHANGE_PREFIX = 'change/';

/** How the one row that every entry polls is read and written. */
export interface HeadRow {
  readonly key: string;
  /** A row that is missing reads as the head of an empty system. */
  decode(row: Row | undefined): Head;
  encode(head: Head): Json;
}

/** A resource as its row keeps it. */
export interface StoredResource {
  readonly resource: Resource;
  /** The `resourceVersion` that this one replaced; 0 if there was none. */
  readonly replaced: number;
}

/** A change as the log keeps it. */
export interface StoredChange {
  readonly change: Change;
  /** Names the change, so that its writer knows it and a resend finds it. */
  readonly changeId: string;
}

/** What a change id was used for. */
export interface StoredChangeId {
  readonly revision: number;
  /** Fingerprint of what was asked. */
  readonly digest: string;
}

/**
 * @param kind - Kind of the resource.
 * @param name - Its name.
 * @returns The key of its row.
 */
export function resourceKey(kind: ResourceKind, name: string): string {
  return `${RESOURCE_PREFIX}${kind}/${name}`;
}

/**
 * @param revision - A revision.
 * @returns The key of its change; keys sort as revisions do.
 */
export function changeKey(revision: number): string {
  return CHANGE_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

/**
 * @param changeId - Names a change.
 * @returns The key of the row that tells whether it happened.
 */
export function changeIdKey(changeId: string): string {
  return `change-id/${changeId}`;
}

/**
 * @param stored - A resource.
 * @returns The value of its row.
 */
export function encodeResource({resource, replaced}: StoredResource): Json {
  const {resourceVersion, spec} = resource;
  return {resourceVersion, replaced, spec: toJson(spec)};
}

/**
 * @param row - A resource row.
 * @returns The resource.
 * @throws InvariantError when the key is not of a resource.
 */
export function decodeResource(row: Row): StoredResource {
  const [, kind, name] = row.key.split('/');
  if (!kind || !name) throw new InvariantError(`not a resource: ${row.key}`);
  const value = row.value as unknown as {
    readonly resourceVersion: number;
    readonly replaced: number;
    readonly spec: SpecByKind[ResourceKind];
  };
  return {
    resource: withDefaults({
      kind: kind as ResourceKind,
      name,
      resourceVersion: value.resourceVersion,
      spec: value.spec,
    }),
    replaced: value.replaced,
  };
}

/**
 * @param stored - A change.
 * @returns The value of its row.
 */
export function encodeChange(stored: StoredChange): Json {
  return toJson(stored);
}

/**
 * @param row - A row of the change log.
 * @returns The change.
 */
export function decodeChange(row: Row): StoredChange {
  const {change, changeId} = row.value as unknown as StoredChange;
  const resource = withDefaults(change.resource);
  return {change: {...change, resource}, changeId};
}

/**
 * Guards against a row that another release has written: a field that is newer
 * than the row would be missing at run time, whatever its type says. What this
 * release does not know it leaves as it is.
 */
function withDefaults(resource: Resource): Resource {
  if (!isResourceKind(resource.kind)) return resource;
  const parsed = SPEC_SCHEMAS[resource.kind].safeParse(resource.spec);
  return parsed.success ? {...resource, spec: parsed.data} : resource;
}

/**
 * @param stored - What a change id was used for.
 * @returns The value of its row.
 */
export function encodeChangeId(stored: StoredChangeId): Json {
  return toJson(stored);
}

/**
 * @param row - The row of a change id.
 * @returns What it was used for.
 */
export function decodeChangeId(row: Row): StoredChangeId {
  return row.value as unknown as StoredChangeId;
}

/** Interfaces are not assignable to `Json`, though these hold nothing else. */
function toJson(value: object): Json {
  return value as unknown as Json;
}
