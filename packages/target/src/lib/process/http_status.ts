/** Health, readiness and metrics over HTTP. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';

/** What is read over HTTP. */
export interface HttpStatusParts {
  /** Whether new work can be served. */
  ready(): boolean;
  /** Metrics in Prometheus text format. */
  metricsText(): Promise<string>;
}

interface Page {
  readonly status: number;
  readonly text: string;
}

/**
 * @param parts - What is read.
 * @returns A server that does not listen yet.
 */
export function createHttpStatus(parts: HttpStatusParts): Server {
  const readiness = async () =>
    parts.ready()
      ? {status: 200, text: 'ready\n'}
      : {status: 503, text: 'not ready\n'};
  const pages: ReadonlyMap<string, () => Promise<Page>> = new Map([
    ['/healthz', async () => ({status: 200, text: 'alive\n'})],
    ['/readyz', readiness],
    ['/metrics', async () => ({status: 200, text: await parts.metricsText()})],
  ]);
  const notFound = async () => ({status: 404, text: 'not found\n'});
  return createServer((req, res) => {
    const page = pages.get(req.url ?? '') ?? notFound;
    void page().then(({status, text}) => {
      res.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
      res.end(text);
    });
  });
}
