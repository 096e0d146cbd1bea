/** Reads the configuration and its change log from the table. */
import {ConfigSnapshot, failure, success} from '@oathead/core';
import type {Outcome, Resource} from '@oathead/core';
import type {Head} from '@oathead/membership';
import type {Row, StoreError, TableStore} from '@oathead/stores';
import type {Change} from '../version/change.js';
import {replay} from '../version/change.js';
import {
  CHANGE_PREFIX,
  RESOURCE_PREFIX,
  changeKey,
  decodeChange,
  decodeResource,
} from './config_rows.js';
import type {HeadRow} from './config_rows.js';

const PAGE_ROWS = 1_000;

/** The head with the version of its row, for conditional writes. */
export interface ReadHead {
  readonly head: Head;
  /** 0 where the row does not exist yet. */
  readonly version: number;
}

/** The log no longer reaches back to the revision that was asked for. */
export interface LogGone {
  readonly kind: 'gone';
}

/** Reads the configuration. Holds nothing. */
export class ConfigReader {
  /**
   * @param store - The table.
   * @param headRow - How its head row is read.
   */
  constructor(
    private readonly store: TableStore,
    private readonly headRow: HeadRow,
  ) {}

  /** Reads the head row. @returns The head as it is now. */
  async head(): Promise<Outcome<ReadHead, StoreError>> {
    const read = await this.store.read([this.headRow.key]);
    if (!read.ok) return read;
    const row = read.value[0];
    return success({
      head: this.headRow.decode(row),
      version: row?.version ?? 0,
    });
  }

  /**
   * Reads all rows below a prefix, page by page.
   *
   * @param prefix - What their keys begin with.
   * @returns The rows, in order of their keys.
   */
  async rows(prefix: string): Promise<Outcome<readonly Row[], StoreError>> {
    const rows: Row[] = [];
    for (;;) {
      const after = rows.at(-1)?.key;
      const page = await this.store.list(prefix, {after, limit: PAGE_ROWS});
      if (!page.ok) return page;
      rows.push(...page.value);
      if (page.value.length < PAGE_ROWS) return success(rows);
    }
  }

  /**
   * Reads the log.
   *
   * @param since - The last revision that is known already.
   * @param until - The last revision wanted; known to exist.
   * @returns Every change between, in order and without a gap, or `gone`.
   */
  async changes(
    since: number,
    until: number,
  ): Promise<Outcome<readonly Change[], StoreError | LogGone>> {
    const changes: Change[] = [];
    let last = since;
    while (last < until) {
      const limit = Math.min(PAGE_ROWS, until - last);
      const after = changeKey(last);
      const page = await this.store.list(CHANGE_PREFIX, {after, limit});
      if (!page.ok) return page;
      for (const row of page.value) {
        const {change} = decodeChange(row);
        if (change.revision !== last + 1) return failure({kind: 'gone'});
        changes.push(change);
        last = change.revision;
      }
      if (page.value.length === 0) return failure({kind: 'gone'});
    }
    return success(changes);
  }

  /**
   * Reads everything. Changes go on while the pages are read, so what changed
   * meanwhile is replayed from the log.
   *
   * @returns The whole configuration as of one revision.
   */
  async snapshot(): Promise<Outcome<ConfigSnapshot, StoreError | LogGone>> {
    const listed = await this.resources(RESOURCE_PREFIX);
    if (!listed.ok) return listed;
    const {revision, resources} = listed.value;
    return success(new ConfigSnapshot(revision, resources));
  }

  /**
   * Reads the resources below a prefix, as of one revision.
   *
   * @param prefix - What the keys of their rows begin with.
   * @returns The resources and the revision.
   */
  async resources(
    prefix: string,
  ): Promise<
    Outcome<
      {readonly revision: number; readonly resources: readonly Resource[]},
      StoreError | LogGone
    >
  > {
    const before = await this.head();
    if (!before.ok) return before;
    const rows = await this.rows(prefix);
    if (!rows.ok) return rows;
    const after = await this.head();
    if (!after.ok) return after;
    const since = before.value.head.cfg;
    const revision = after.value.head.cfg;
    const changes = await this.changes(since, revision);
    if (!changes.ok) return changes;
    const listed = rows.value.map(row => decodeResource(row).resource);
    const wanted = changes.value.filter(({resource}) =>
      `${RESOURCE_PREFIX}${resource.kind}/`.startsWith(prefix),
    );
    return success({revision, resources: replay(listed, wanted)});
  }
}
