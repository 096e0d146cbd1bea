/**
 * Stand-ins for the outside systems, with fault switches: model engine, plain service and platform.
 *
 * @packageDocumentation
 */

export {};
