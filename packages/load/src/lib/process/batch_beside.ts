/** A batch job that runs beside an online load. */
import {request} from 'undici';
import {z} from 'zod';

/** The job. */
export interface BatchBesideOptions {
  readonly url: string;
  readonly key: string | undefined;
  readonly jobId: string;
  readonly model: string;
  readonly items: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** A job that was accepted. */
export interface BatchBeside {
  /** @returns How many of its items have an answer. */
  done(): Promise<number>;
  /** Cancels the rest. */
  cancel(): Promise<void>;
}

const FIRST_ERROR_STATUS = 400;
const STATUS = z.object({counts: z.object({done: z.number()})});

/**
 * @param options - The job.
 * @returns The job, accepted.
 * @throws Error when it is refused.
 */
export async function startBatchBeside(
  options: BatchBesideOptions,
): Promise<BatchBeside> {
  const {url, key, jobId, items} = options;
  const jobs = `${url}/v1/batch-jobs`;
  const job = {
    id: jobId,
    items: Array.from({length: items}, (unused, i) => itemOf(options, i)),
  };
  await call('POST', jobs, key, job);
  const path = `${jobs}/${encodeURIComponent(jobId)}`;
  return {
    done: async () => STATUS.parse(await call('GET', path, key)).counts.done,
    cancel: async () => void (await call('POST', `${path}/cancel`, key)),
  };
}

function itemOf(options: BatchBesideOptions, index: number) {
  const {model, promptTokens, maxTokens} = options;
  const prompt = `batch ${index} [[slow]] ${'pay '.repeat(promptTokens)}`;
  return {
    id: `item-${index}`,
    completion: {model, prompt, max_tokens: maxTokens},
  };
}

async function call(
  method: 'GET' | 'POST',
  url: string,
  key: string | undefined,
  json?: object,
): Promise<unknown> {
  const res = await request(url, {
    method,
    headers: {
      ...(json === undefined ? {} : {'content-type': 'application/json'}),
      ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
    },
    ...(json === undefined ? {} : {body: JSON.stringify(json)}),
  });
  const text = await res.body.text();
  if (res.statusCode >= FIRST_ERROR_STATUS) throw new Error(text);
  return JSON.parse(text);
}
