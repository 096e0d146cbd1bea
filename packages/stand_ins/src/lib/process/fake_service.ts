/** A plain service in this process, which counts how often each call ran. */
import {
  EngineError,
  sleep,
  type Clock,
  type ServiceCall,
  type ServiceClient,
  type ServiceResponse,
} from '@oathead/core';
import {z} from 'zod';

/** Faults of a service; all off by default. */
export interface ServiceFaults {
  /** Time that each call takes, in milliseconds. */
  readonly delayMs: number;
  /**
   * `none`; `refuses`: takes no call; `answers-500`: runs it and answers with
   * an error; `loses-answer`: runs it and breaks the connection; `hangs`: runs
   * it and never answers.
   */
  readonly fault: 'none' | 'refuses' | 'answers-500' | 'loses-answer' | 'hangs';
}

/** A service without faults. */
export const NO_SERVICE_FAULTS: ServiceFaults = {delayMs: 5, fault: 'none'};

const STATUS_OK = 200;
const STATUS_FAILED = 500;
const BODY_SCHEMA = z.object({id: z.string()});

/**
 * Names a call, so that its runs can be counted.
 *
 * @param body - The body of the call.
 * @returns Its field `id` when it is JSON with one, else the whole body.
 */
export function callId(body: string): string {
  try {
    return BODY_SCHEMA.parse(JSON.parse(body)).id;
  } catch {
    return body;
  }
}

/** A plain service without sockets. */
export class FakeService implements ServiceClient {
  private faults = NO_SERVICE_FAULTS;
  private readonly counts = new Map<string, number>();

  /** @param clock - Time for the delay. */
  constructor(private readonly clock: Clock) {}

  /** @throws EngineError */
  async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
    const {delayMs, fault} = this.faults;
    if (signal.aborted) throw new EngineError('refused', 'aborted before');
    if (fault === 'refuses')
      throw new EngineError('refused', 'the service takes no calls');
    const run = this.countRun(callId(call.body || call.path));
    await sleep(this.clock, delayMs, signal);
    if (fault === 'hangs') await aborted(signal);
    if (signal.aborted) throw new EngineError('lost', 'aborted by the reader');
    if (fault === 'loses-answer') throw new EngineError('lost', 'broken off');
    const status = fault === 'answers-500' ? STATUS_FAILED : STATUS_OK;
    const {service, method, path, body} = call;
    const answer = {service, method, path, body, run};
    const contentType = 'application/json';
    return {status, contentType, body: JSON.stringify(answer)};
  }

  /**
   * @param id - As {@link callId} names it.
   * @returns How often the call ran.
   */
  runs(id: string): number {
    return this.counts.get(id) ?? 0;
  }

  /** @returns All runs by call id. */
  seen(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }

  /** @param faults - The switches to change; the others stay. */
  setFaults(faults: Partial<ServiceFaults>): void {
    this.faults = {...this.faults, ...faults};
  }

  private countRun(id: string): number {
    const run = this.runs(id) + 1;
    this.counts.set(id, run);
    return run;
  }
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) resolve();
    signal.addEventListener('abort', () => resolve(), {once: true});
  });
}
