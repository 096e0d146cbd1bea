/** Reads the structured logs of several processes as the story of one id. */
import {refusalText} from './refusal_text.js';

/** A line of a log, as a process wrote it. */
export interface StoryLine {
  /** When, on the host's time of day, as ISO text. */
  readonly time: string;
  readonly host: string;
  readonly event: string;
  /** What decided, and the outcome. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What a set of logs says of one id. */
export interface LogStory {
  /** Lines that name the id, or a target, job or host that it had to do with. */
  readonly lines: readonly StoryLine[];
  /** Lines that could not be read: cut off, or not of this system. */
  readonly unreadable: number;
}

/** Fields that each line has, told apart from what it says. */
const FRAME: ReadonlySet<string> = new Set([
  'level',
  'time',
  'pid',
  'host',
  'event',
]);
/** Fields whose value is the id of something that has a story. */
const NAMES = ['request', 'item', 'job', 'fingerprint'] as const;
/** What happened to a target shortly before may be why a request went wrong. */
const TARGET_EVENTS: ReadonlySet<string> = new Set([
  'target-suspended',
  'target-leaving',
  'target-gone',
]);
/** A host that stood still answers nothing in time. */
const HOST_EVENT = 'process-stalled';
/** What happened to a job decides over its items. */
const JOB_EVENT = /^job-/;
/** Lines of targets count if they are so near to the story, in milliseconds. */
const NEAR_MS = 3000;
/** Sets words apart from the line that they explain. */
const EXPLANATION_INDENT = ' '.repeat(12);

/**
 * @param id - Of a request, an item, a job or a request's fingerprint.
 * @param texts - Logs, one of each process, in any order.
 * @returns What they say of it, in the order in which it happened.
 */
export function storyOf(id: string, texts: readonly string[]): LogStory {
  const rows = texts.flatMap(text => text.split('\n')).filter(Boolean);
  const parsed = rows.map(parseLine);
  const all = parsed.filter(line => line !== undefined);
  const own = all.filter(line =>
    namesOf(line).some(name => isNameOf(name, id)),
  );
  const jobs = idsIn(own, 'job');
  const targets = idsIn(own, 'target');
  const hosts = new Set(own.map(({host}) => host));
  const near = nearTo(own);
  const lines = all.filter(
    line =>
      own.includes(line) ||
      (JOB_EVENT.test(line.event) && jobs.has(line.fields['job'])) ||
      (line.event === HOST_EVENT && hosts.has(line.host) && near(line)) ||
      (TARGET_EVENTS.has(line.event) &&
        targets.has(line.fields['target']) &&
        near(line)),
  );
  return {
    lines: lines.sort((a, b) => Date.parse(a.time) - Date.parse(b.time)),
    unreadable: rows.length - all.length,
  };
}

/**
 * @param story - Of one id.
 * @returns It as text, a line for each decision, times from the first one on,
 *     and below a refusal or a wait one that says it in words.
 */
export function storyText({lines}: LogStory): string {
  const startedAt = Date.parse(lines[0]?.time ?? '');
  return lines
    .map(({time, host, event, fields}) => {
      const ms = String(Date.parse(time) - startedAt).padStart(7);
      const inputs = Object.entries(fields)
        .map(([name, value]) => `${name}=${textOf(value)}`)
        .join(' ');
      const words = refusalText(event, fields);
      const told = words === undefined ? '' : `${EXPLANATION_INDENT}${words}\n`;
      return `${ms} ms  ${host}  ${event}  ${inputs}\n${told}`;
    })
    .join('');
}

function parseLine(text: string): StoryLine | undefined {
  try {
    const row = JSON.parse(text) as Record<string, unknown>;
    const {time, host, event} = row;
    if (typeof event !== 'string' || typeof time !== 'string') return undefined;
    const fields = Object.fromEntries(
      Object.entries(row).filter(([name]) => !FRAME.has(name)),
    );
    return {time, host: String(host), event, fields};
  } catch {
    // Cut off by a kill, or a line of something else; the caller counts it.
    return undefined;
  }
}

/** Callers name their jobs without the client account, which the log puts first. */
function isNameOf(name: unknown, id: string): boolean {
  return name === id || String(name).endsWith(`:${id}`);
}

function namesOf({fields}: StoryLine): readonly unknown[] {
  return NAMES.map(name => fields[name]);
}

function idsIn(lines: readonly StoryLine[], field: string): Set<unknown> {
  const ids = lines.map(({fields}) => fields[field]);
  return new Set(ids.filter(id => id !== undefined));
}

function nearTo(own: readonly StoryLine[]): (line: StoryLine) => boolean {
  const times = own.map(({time}) => Date.parse(time));
  const from = Math.min(...times) - NEAR_MS;
  const to = Math.max(...times) + NEAR_MS;
  return ({time}) => Date.parse(time) >= from && Date.parse(time) <= to;
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
