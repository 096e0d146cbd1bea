/**
 * The contract between an entry and a target process: tRPC router, schemas and link.
 *
 * @packageDocumentation
 */

export {};
