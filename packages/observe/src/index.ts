/**
 * Counters, histograms, traces, debug logs and settings files, alike for both binaries.
 *
 * @packageDocumentation
 */

export {};
