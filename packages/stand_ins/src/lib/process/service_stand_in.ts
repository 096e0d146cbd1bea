/**
 * A plain service as an HTTP server. It answers any call with what it got and
 * how often that call ran; `GET /v1/admin/seen`, `POST /v1/admin/faults` and
 * `POST /v1/admin/silence` serve the tests.
 *
 * A call that is not taken is answered with 503 and a body
 * `{kind: 'refused', message}`.
 */
import {EngineError, SYSTEM_CLOCK, type Clock} from '@oathead/core';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {
  readJson,
  sendJson,
  StandInServer,
  type Routes,
  type StandInRequest,
} from '../connection/stand_in_server.js';
import {FakeService} from './fake_service.js';

/** How a service stand-in is set up. */
export interface ServiceStandInOptions {
  readonly clock?: Clock;
}

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const STATUS_REFUSED = 503;

const FAULTS_SCHEMA = z.object({
  delayMs: z.number().nonnegative().optional(),
  fault: z
    .enum(['none', 'refuses', 'answers-500', 'loses-answer', 'hangs'])
    .optional(),
});

/** A plain service behind HTTP. */
export class ServiceStandIn implements AsyncDisposable {
  /** The service itself: its runs and faults. */
  readonly service: FakeService;
  /** The server; its connections can be broken or made silent. */
  readonly server: StandInServer;

  /** @param options - Its clock. */
  constructor(options: ServiceStandInOptions = {}) {
    this.service = new FakeService(options.clock ?? SYSTEM_CLOCK);
    this.server = new StandInServer(this.adminRoutes(), (req, res) =>
      this.call(req, res),
    );
  }

  /**
   * @param port - Where to listen; 0 for any free port.
   * @returns The port.
   */
  listen(port = 0): Promise<number> {
    return this.server.listen(port);
  }

  /** Breaks all calls and stops. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.server[Symbol.asyncDispose]();
  }

  private adminRoutes(): Routes {
    return {
      ['GET /v1/admin/seen']: (req, res) => {
        sendJson(res, STATUS_OK, {calls: this.service.seen()});
      },
      ['POST /v1/admin/faults']: (req, res) => {
        this.service.setFaults(readJson(req, FAULTS_SCHEMA));
        res.writeHead(STATUS_NO_CONTENT).end();
      },
      ['POST /v1/admin/silence']: (req, res) => {
        this.server.silenceAfter(res);
      },
    };
  }

  private async call(req: StandInRequest, res: ServerResponse): Promise<void> {
    const abort = new AbortController();
    res.once('close', () => abort.abort());
    const {pathname, search} = req.url;
    const call = {
      kind: 'call',
      service: 'stand-in',
      method: req.method,
      path: pathname.slice(1) + search,
      body: new TextDecoder().decode(req.body),
    } as const;
    try {
      const answer = await this.service.call(call, abort.signal);
      const {status, contentType = 'text/plain', body} = answer;
      res.writeHead(status, {'content-type': contentType}).end(body);
    } catch (err) {
      sendError(res, err);
    }
  }
}

function sendError(res: ServerResponse, err: unknown): void {
  if (!(err instanceof EngineError) || err.kind === 'lost') {
    res.destroy();
    return;
  }
  const {kind, message} = err;
  sendJson(res, STATUS_REFUSED, {kind, message});
}
