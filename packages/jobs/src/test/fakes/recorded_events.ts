/** Log and metrics that keep what they receive. */
import type {
  Counters,
  EventFields,
  EventLog,
  Labels,
  Latencies,
} from '@oathead/core';

/** Keeps events, counts and latencies by name and label values. */
export class RecordedEvents implements EventLog, Counters, Latencies {
  readonly events: Array<{readonly name: string} & EventFields> = [];
  readonly counts: Record<string, number> = {};
  readonly latencies: Record<string, readonly number[]> = {};

  event(name: string, fields: EventFields = {}): void {
    this.events.push({...fields, name});
  }

  count(name: string, labels: Labels = {}, by = 1): void {
    const key = keyOf(name, labels);
    this.counts[key] = (this.counts[key] ?? 0) + by;
  }

  record(name: string, ms: number, labels: Labels = {}): void {
    const key = keyOf(name, labels);
    this.latencies[key] = [...(this.latencies[key] ?? []), ms];
  }
}

function keyOf(name: string, labels: Labels): string {
  return [name, ...Object.values(labels)].join(' ');
}
