/** How far a revision has come. */
import type {FleetView} from './fleet_view.js';
import type {Spread} from './status_report.js';

/** Names given where there may be thousands. */
const MAX_EXAMPLES = 10;

/**
 * @param fleet - What is known of the fleet.
 * @returns How many entries serve by its revision.
 */
export function entrySpread({entries, snapshot}: FleetView): Spread {
  const behind = entries.filter(({revision}) => revision < snapshot.revision);
  return {
    current: entries.length - behind.length,
    behind: behind.length,
    unknown: 0,
    examples: behind.slice(0, MAX_EXAMPLES).map(({entryId}) => entryId),
  };
}

/**
 * @param fleet - What is known of the fleet.
 * @returns How many declared targets have its revision.
 */
export function targetSpread({targets, snapshot}: FleetView): Spread {
  const declared = snapshot.all('targets').map(({name}) => name);
  const heard = declared.filter(name => targets.has(name));
  const behind = heard.filter(
    name => targets.get(name)!.report.cfgRevision < snapshot.revision,
  );
  return {
    current: heard.length - behind.length,
    behind: behind.length,
    unknown: declared.length - heard.length,
    examples: behind.slice(0, MAX_EXAMPLES),
  };
}
