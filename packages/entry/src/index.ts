/**
 * The process on each entry host: the API of callers and operators, admission, choice of target, retries.
 *
 * @packageDocumentation
 */

export {};
