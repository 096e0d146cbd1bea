/** Reads and writes of declared resources, as operators ask for them. */
import {failure, notRun, success} from '@oathead/core';
import type {
  Outcome,
  Problem,
  Refusal,
  Resource,
  ResourceKind,
  SpecByKind,
} from '@oathead/core';
import type {Row, RowCheck, StoreError} from '@oathead/stores';
import {isDeepStrictEqual} from 'node:util';
import {
  fixedFieldProblems,
  referenceProblem,
  referencesOf,
  userPrefixes,
  userProblems,
} from '../version/references.js';
import {invalid} from '../version/problems.js';
import {checkSpec} from '../version/spec_schema.js';
import {ConfigReader} from './config_reader.js';
import type {LogGone} from './config_reader.js';
import {RESOURCE_PREFIX, decodeResource, resourceKey} from './config_rows.js';
import type {StoredResource} from './config_rows.js';
import {ConfigWriter} from './config_writer.js';
import type {ConfigStoreOptions, Proposal} from './config_writer.js';

/** Conditions of a change. */
export interface ChangeOptions {
  /**
   * The `resourceVersion` that the change was made on, or `absent` when the
   * resource must not exist yet. Without it the change is unconditional.
   */
  readonly ifMatch?: number | 'absent';
  /**
   * The same for each resend of one change, so that a resend is not a second
   * change. Drawn at random without it.
   */
  readonly changeId?: string;
}

/** Resources as of one revision. */
export interface ResourceList {
  readonly revision: number;
  readonly resources: readonly Resource[];
}

interface Current {
  readonly stored: StoredResource | undefined;
  readonly check: RowCheck;
}

/** The declared resources, in the table. */
export class ConfigStore {
  private readonly reader: ConfigReader;
  private readonly writer: ConfigWriter;

  /** @param options - What it reads and writes with. */
  constructor(private readonly options: ConfigStoreOptions) {
    this.reader = new ConfigReader(options.store, options.headRow);
    this.writer = new ConfigWriter(options, this.reader);
  }

  /**
   * Declares a resource, or changes it. What is so already is not changed.
   *
   * @param kind - Kind of the resource.
   * @param name - Its name.
   * @param spec - Its spec, unchecked; defaults are filled in.
   * @param options - Conditions.
   * @returns The resource as the change left it.
   */
  async apply<K extends ResourceKind>(
    kind: K,
    name: string,
    spec: unknown,
    options: ChangeOptions = {},
  ): Promise<Outcome<Resource<K>, Refusal>> {
    const checked = checkSpec(kind, name, spec);
    if (!checked.ok) return checked;
    const committed = await this.writer.commit({
      changeId: options.changeId ?? this.options.random.id(),
      content: JSON.stringify(['put', kind, name, checked.value]),
      propose: () => this.proposePut(kind, name, checked.value, options),
    });
    return committed as Outcome<Resource<K>, Refusal>;
  }

  /**
   * Deletes a resource that no other one names.
   *
   * @param kind - Kind of the resource.
   * @param name - Its name.
   * @param options - Conditions.
   * @returns The resource as it was last.
   */
  async delete<K extends ResourceKind>(
    kind: K,
    name: string,
    options: ChangeOptions = {},
  ): Promise<Outcome<Resource<K>, Refusal>> {
    const committed = await this.writer.commit({
      changeId: options.changeId ?? this.options.random.id(),
      content: JSON.stringify(['delete', kind, name]),
      propose: () => this.proposeDelete(kind, name, options),
    });
    return committed as Outcome<Resource<K>, Refusal>;
  }

  /**
   * @param kind - Kind of the resource.
   * @param name - Its name.
   * @returns The resource as it is now.
   */
  async get<K extends ResourceKind>(
    kind: K,
    name: string,
  ): Promise<Outcome<Resource<K>, Refusal>> {
    const read = await this.current(kind, name);
    if (!read.ok) return failure(unreadable(read.err));
    const {stored} = read.value;
    if (!stored) return failure(notDeclared(kind, name));
    return success(stored.resource as Resource<K>);
  }

  /**
   * @param kind - Kind of the resources; all kinds without it.
   * @returns The resources as of one revision.
   */
  async list(kind?: ResourceKind): Promise<Outcome<ResourceList, Refusal>> {
    const below = kind === undefined ? '' : `${kind}/`;
    const listed = await this.reader.resources(RESOURCE_PREFIX + below);
    return listed.ok ? listed : failure(unreadable(listed.err));
  }

  private async proposePut<K extends ResourceKind>(
    kind: K,
    name: string,
    spec: SpecByKind[K],
    {ifMatch}: ChangeOptions,
  ): Promise<Outcome<Proposal, StoreError>> {
    const read = await this.current(kind, name);
    if (!read.ok) return read;
    const {stored, check} = read.value;
    const same = isDeepStrictEqual(stored?.resource.spec, spec);
    if (stored && same && wasMeant(stored, ifMatch)) {
      return success({kind: 'unchanged', resource: stored.resource});
    }
    const replaced = stored?.resource.resourceVersion ?? 0;
    const refusal = conflict(kind, name, replaced, ifMatch);
    if (refusal) return success({kind: 'refused', refusal});
    const fixed = stored ? fixedFieldProblems(stored.resource, spec) : [];
    const references = await this.checkReferences(kind, name, spec);
    if (!references.ok) return references;
    const problems = [...fixed, ...references.value.problems];
    if (problems.length > 0) {
      const message = `${kind}/${name} cannot be declared so`;
      return success({kind: 'refused', refusal: invalid(message, problems)});
    }
    return success({
      kind: 'put',
      resource: {kind, name, resourceVersion: 0, spec},
      replaced,
      checks: [check, ...references.value.checks],
    });
  }

  private async proposeDelete(
    kind: ResourceKind,
    name: string,
    {ifMatch}: ChangeOptions,
  ): Promise<Outcome<Proposal, StoreError>> {
    const read = await this.current(kind, name);
    if (!read.ok) return read;
    const {stored, check} = read.value;
    if (!stored) return refused(notDeclared(kind, name));
    const {resource} = stored;
    const replaced = resource.resourceVersion;
    const refusal = conflict(kind, name, replaced, ifMatch);
    if (refusal) return refused(refusal);
    const users = await this.users(kind, name);
    if (!users.ok) return users;
    const problems = userProblems(resource, users.value);
    if (problems.length > 0) {
      return refused(invalid(`${kind}/${name} is in use`, problems));
    }
    return success({kind: 'delete', resource, replaced, checks: [check]});
  }

  private async current(
    kind: ResourceKind,
    name: string,
  ): Promise<Outcome<Current, StoreError>> {
    const key = resourceKey(kind, name);
    const read = await this.options.store.read([key]);
    if (!read.ok) return read;
    const row = read.value[0];
    return success({
      stored: row && decodeResource(row),
      check: {key, version: row?.version ?? 0},
    });
  }

  private async checkReferences<K extends ResourceKind>(
    kind: K,
    name: string,
    spec: SpecByKind[K],
  ): Promise<
    Outcome<
      {readonly problems: Problem[]; readonly checks: RowCheck[]},
      StoreError
    >
  > {
    const references = referencesOf(kind, name, spec);
    const keys = references.map(r => resourceKey(r.kind, r.name));
    if (keys.length === 0) return success({problems: [], checks: []});
    const read = await this.options.store.read(keys);
    if (!read.ok) return read;
    const problems = references.flatMap((reference, index) => {
      const row = read.value[index];
      const found = row && decodeResource(row).resource;
      return referenceProblem(reference, found) ?? [];
    });
    const checks = keys.map((key, index) => ({
      key,
      version: read.value[index]?.version ?? 0,
    }));
    return success({problems, checks});
  }

  /** No row check says "no user": the head's version, read before, does. */
  private async users(
    kind: ResourceKind,
    name: string,
  ): Promise<Outcome<readonly Resource[], StoreError>> {
    const users: Row[] = [];
    for (const prefix of userPrefixes(kind, name)) {
      const rows = await this.reader.rows(RESOURCE_PREFIX + prefix);
      if (!rows.ok) return rows;
      users.push(...rows.value);
    }
    return success(users.map(row => decodeResource(row).resource));
  }
}

/**
 * Whether a change that finds its wish fulfilled may be a resend of the one
 * that fulfilled it: its condition holds now, or held then.
 */
function wasMeant(
  {resource, replaced}: StoredResource,
  ifMatch: number | 'absent' | undefined,
): boolean {
  if (ifMatch === undefined) return true;
  const expected = ifMatch === 'absent' ? 0 : ifMatch;
  return expected === resource.resourceVersion || expected === replaced;
}

function conflict(
  kind: ResourceKind,
  name: string,
  currentVersion: number,
  ifMatch: number | 'absent' | undefined,
): Refusal | undefined {
  if (ifMatch === undefined) return undefined;
  const expected = ifMatch === 'absent' ? 0 : ifMatch;
  if (expected === currentVersion) return undefined;
  return {
    kind: 'revision-conflict',
    message: `${kind}/${name} is at version ${currentVersion}, not ${expected}`,
    ran: 'not-run',
    currentVersion,
  };
}

function refused(refusal: Refusal): Outcome<Proposal, StoreError> {
  return success({kind: 'refused', refusal});
}

function notDeclared(kind: ResourceKind, name: string): Refusal {
  return notRun('not-found', `${kind}/${name} is not declared`);
}

function unreadable(err: StoreError | LogGone): Refusal {
  return notRun('store-unavailable', `the store cannot be read: ${err.kind}`);
}
