/** The platform as the process on a host reaches it, and as it is watched. */
import type {
  ListOptions,
  ObjectStore,
  Platform,
  RowWrite,
  TableStore,
  Transaction,
} from '@oathead/stores';
import type {Host} from './host.js';

/**
 * @param host - A process.
 * @param platform - The platform.
 * @param onWrite - Told of rows that the process is about to write.
 * @returns The platform, as the process reaches it.
 */
export function platformAt(
  host: Host,
  platform: Platform,
  onWrite: (writes: readonly RowWrite[]) => void,
): Platform {
  const {table, objects, weights, hosts} = platform;
  const tableAt: TableStore = {
    read: (keys: readonly string[]) => host.call(() => table.read(keys)),
    list: (prefix: string, options?: ListOptions) =>
      host.call(() => table.list(prefix, options)),
    write: (transaction: Transaction) => {
      if (host.alive) onWrite(transaction.writes);
      return host.call(() => table.write(transaction));
    },
  };
  const objectsAt: ObjectStore = {
    put: (key: string, bytes: Uint8Array) =>
      host.call(() => objects.put(key, bytes)),
    get: (key: string) => host.call(() => objects.get(key)),
    delete: (key: string) => host.call(() => objects.delete(key)),
  };
  return {
    table: tableAt,
    objects: objectsAt,
    weights: {
      describe: name => host.call(() => weights.describe(name)),
      concurrentLoads: () => host.call(() => weights.concurrentLoads()),
    },
    hosts: {hosts: () => host.call(() => hosts.hosts())},
  };
}

/**
 * @param table - The table itself.
 * @param onLanded - Told of rows that were written.
 * @returns The table, watched.
 */
export function watchedTable(
  table: TableStore,
  onLanded: (writes: readonly RowWrite[]) => void,
): TableStore {
  return {
    read: keys => table.read(keys),
    list: (prefix, options) => table.list(prefix, options),
    write: async transaction => {
      const outcome = await table.write(transaction);
      if (outcome.ok) onLanded(transaction.writes);
      return outcome;
    },
  };
}
