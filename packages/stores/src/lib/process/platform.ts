/** The services that the system uses from its platform. */
import type {HostList} from './host_list.js';
import type {ObjectStore} from './object_store.js';
import type {TableStore} from './table_store.js';
import type {WeightStore} from './weight_store.js';

/** The four services of the platform. */
export interface Platform {
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly weights: WeightStore;
  readonly hosts: HostList;
}
