/** Selects the service of a route that handles a request. */
import type {Random} from '@oathead/core';
import type {Route} from '../version/routing_table.js';

/**
 * Selects one of a route's services at random, weighted by their shares.
 *
 * @param route - A route with at least one service.
 * @param random - Source of randomness.
 * @returns The name of the service.
 */
export function pickService(route: Route, random: Random): string {
  const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
  let rest = random.float() * total;
  for (const {service, weight} of route.services) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return route.services.at(-1)!.service;
}
