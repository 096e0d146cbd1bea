/**
 * The command line `oathead`: the entry, the operators' verbs, the demo and the load generator.
 *
 * @packageDocumentation
 */

export {};
