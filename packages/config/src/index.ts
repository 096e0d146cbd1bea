/**
 * What operators declare: resources with conflicts and watch, convergence, rollouts.
 *
 * @packageDocumentation
 */

export {};
