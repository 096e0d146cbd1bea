/**
 * Durable batch jobs: accepted once, run in chunks under fenced shares, every outcome written once.
 *
 * @packageDocumentation
 */

export {};
