/** Finds the route of a request in one version of the configuration. */
import type {Route, RoutingTable} from './routing_table.js';

/** Routes by host name, the longest prefix first. */
export class RouteMatcher {
  private readonly byHost: ReadonlyMap<string, readonly Route[]>;

  /** @param table - The version whose routes are matched. */
  constructor(readonly table: RoutingTable) {
    const longestFirst = [...table.routes].sort(
      (a, b) => b.pathPrefix.length - a.pathPrefix.length,
    );
    const byHost = new Map<string, Route[]>();
    for (const route of longestFirst) {
      const known = byHost.get(route.hostName);
      if (known) known.push(route);
      else byHost.set(route.hostName, [route]);
    }
    this.byHost = byHost;
  }

  /**
   * @param hostHeader - The `Host` header, with or without a port.
   * @param path - The path with its query.
   * @returns The route with the longest prefix that begins the path.
   */
  match(hostHeader: string | undefined, path: string): Route | undefined {
    const routes = this.byHost.get(hostNameOf(hostHeader));
    const pathOnly = path.split('?', 1)[0]!;
    return routes?.find(route => pathOnly.startsWith(route.pathPrefix));
  }

  /**
   * @param hostHeader - The `Host` header, with or without a port.
   * @returns The routes of this host name.
   */
  routesOf(hostHeader: string | undefined): readonly Route[] {
    return this.byHost.get(hostNameOf(hostHeader)) ?? [];
  }
}

function hostNameOf(hostHeader: string | undefined): string {
  return (hostHeader ?? '').split(':', 1)[0]!.toLowerCase();
}
