/** The platform's four services together. */
import type {HostList} from './host_list.js';
import type {ObjectStore} from './object_store.js';
import type {TableStore} from './table_store.js';
import type {WeightStore} from './weight_store.js';

/** What the platform gives. */
export interface Platform {
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly weights: WeightStore;
  readonly hosts: HostList;
}
