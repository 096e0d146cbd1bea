/** Which of a route's services takes a request. */
import type {Random} from '@oathead/core';
import type {Route} from '../version/routing_table.js';

/**
 * Draws one of a route's services by their weights.
 *
 * @param route - Names at least one service.
 * @param random - Draws.
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
