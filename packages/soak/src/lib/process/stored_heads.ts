/** What the store holds of the jobs, to trace a promise that was broken. */
import type {StoreStandIn} from '@oathead/platform/stand_ins';

const TABLE = 'job_heads';
const PARTITIONS = 16;

/**
 * @param store - The store of a run.
 * @returns The heads of all jobs by the IDs that their callers gave them.
 */
export async function storedHeads(
  store: StoreStandIn,
): Promise<ReadonlyMap<string, unknown>> {
  const heads = new Map<string, unknown>();
  for (let i = 0; i < PARTITIONS; i++) {
    const partition = `p${String(i).padStart(2, '0')}`;
    const page = await store.rows.read({table: TABLE, partition});
    if (!page.ok) continue;
    for (const {key, value, version} of page.value.rows) {
      const head: unknown = JSON.parse(Buffer.from(value).toString());
      heads.set(key.slice(key.indexOf(':') + 1), {version, head});
    }
  }
  return heads;
}
