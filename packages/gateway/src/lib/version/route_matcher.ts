/** Finds the route of a request in one configuration version. */
import type {Route, RoutingTable} from './routing_table.js';

/** Routes by host name, sorted by descending length of the path prefix. */
export class RouteMatcher {
  private readonly byHost: ReadonlyMap<string, readonly Route[]>;

  /** @param table - The configuration version whose routes are matched. */
  constructor(readonly table: RoutingTable) {
    const longestFirst = [...table.routes].sort(
      (a, b) => b.pathPrefix.length - a.pathPrefix.length,
    );
    const byHost = new Map<string, Route[]>();
    for (const route of longestFirst) {
      const hostRoutes = byHost.get(route.hostName);
      if (hostRoutes) hostRoutes.push(route);
      else byHost.set(route.hostName, [route]);
    }
    this.byHost = byHost;
  }

  /**
   * @param hostHeader - The `Host` header, with or without a port.
   * @param path - The request path, including the query.
   * @returns The route with the longest matching path prefix; undefined if none
   *     matches.
   */
  match(hostHeader: string | undefined, path: string): Route | undefined {
    const routes = this.byHost.get(hostNameOf(hostHeader));
    const pathOnly = path.split('?', 1)[0]!;
    return routes?.find(route => pathOnly.startsWith(route.pathPrefix));
  }
}

function hostNameOf(hostHeader: string | undefined): string {
  return (hostHeader ?? '').split(':', 1)[0]!.toLowerCase();
}
