/**
 * A model engine as an HTTP server.
 *
 * - `POST /v1/generate`: an `EngineRequest`; answers `EngineEvent`s as SSE.
 *   Closing the connection cancels.
 * - `GET /v1/load`, `POST /v1/orders`, `GET /v1/cache-events?after=N`
 * - `GET /v1/cache/PREFIX`, `POST /v1/cache`: KV cache out and in.
 * - `GET /v1/admin/seen`: runs by request id; `POST /v1/admin/faults`,
 *   `POST /v1/admin/crash`, `POST /v1/admin/silence`.
 *
 * What is not answered has a body `{kind, message}`: 503 and `refused` where
 * the engine did not take the request, 422 and `failed` where it never can.
 * Where it cannot say, the connection breaks.
 */
import {
  EngineError,
  SYSTEM_CLOCK,
  type Clock,
  type EngineRequest,
} from '@oathead/core';
import type {ServerResponse} from 'node:http';
import {
  ENGINE_FAULTS,
  ENGINE_REQUEST,
  ORDER,
} from '../connection/engine_schemas.js';
import {
  readJson,
  sendJson,
  StandInServer,
  type Routes,
} from '../connection/stand_in_server.js';
import {FakeEngine, type FakeEngineOptions} from './fake_engine.js';
import {ScaledClock} from './scaled_clock.js';

/** How an engine stand-in is set up. */
export interface EngineStandInOptions extends FakeEngineOptions {
  /** How many times as fast as its parameters say; 1 by default. */
  readonly speed?: number;
  readonly clock?: Clock;
}

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const ERROR_STATUS = {refused: 503, failed: 422} as const;

/** A model engine behind HTTP. */
export class EngineStandIn implements AsyncDisposable {
  /** The engine itself: its runs, faults and model. */
  readonly engine: FakeEngine;
  /** The server; its connections can be broken or made silent. */
  readonly server: StandInServer;

  /** @param options - Model, versions, speed. */
  constructor(options: EngineStandInOptions = {}) {
    const {clock = SYSTEM_CLOCK, speed = 1} = options;
    this.engine = new FakeEngine(new ScaledClock(clock, speed), options);
    this.server = new StandInServer({
      ...this.engineRoutes(),
      ...this.cacheRoutes(),
      ...this.adminRoutes(),
    });
  }

  /**
   * @param port - Where to listen; 0 for any free port.
   * @returns The port.
   */
  listen(port = 0): Promise<number> {
    return this.server.listen(port);
  }

  /** Breaks all streams and stops. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.server[Symbol.asyncDispose]();
    this.engine[Symbol.dispose]();
  }

  private engineRoutes(): Routes {
    const {engine} = this;
    return {
      ['POST /v1/generate']: async (req, res) => {
        await this.generate(readJson(req, ENGINE_REQUEST), res);
      },
      ['GET /v1/load']: guarded(async (req, res) => {
        sendJson(res, STATUS_OK, await engine.load());
      }),
      ['POST /v1/orders']: guarded(async (req, res) => {
        const outcome = await engine.order(readJson(req, ORDER));
        sendJson(res, STATUS_OK, outcome);
      }),
    };
  }

  private cacheRoutes(): Routes {
    const {engine} = this;
    return {
      ['GET /v1/cache-events']: guarded(async (req, res) => {
        const after = Number(req.url.searchParams.get('after') ?? 0);
        const events = await engine.cacheEvents(after);
        sendJson(res, STATUS_OK, {events});
      }),
      ['GET /v1/cache/*']: guarded(async (req, res) => {
        const cache = await engine.exportCache(req.key);
        res.writeHead(STATUS_OK).end(cache);
      }),
      ['POST /v1/cache']: guarded(async (req, res) => {
        await engine.importCache(req.body);
        res.writeHead(STATUS_NO_CONTENT).end();
      }),
    };
  }

  private adminRoutes(): Routes {
    const {engine} = this;
    return {
      ['GET /v1/admin/seen']: (req, res) => {
        sendJson(res, STATUS_OK, {requests: engine.seen()});
      },
      ['POST /v1/admin/faults']: (req, res) => {
        const {breaksAfterTokens, ...rest} = readJson(req, ENGINE_FAULTS);
        const limit = {breaksAfterTokens: breaksAfterTokens ?? Infinity};
        const changes =
          breaksAfterTokens === undefined ? rest : {...rest, ...limit};
        engine.setFaults(changes);
        res.writeHead(STATUS_NO_CONTENT).end();
      },
      ['POST /v1/admin/crash']: (req, res) => {
        engine.crash();
        res.writeHead(STATUS_NO_CONTENT).end();
      },
      ['POST /v1/admin/silence']: (req, res) => {
        this.server.silenceAfter(res);
      },
    };
  }

  private async generate(
    req: EngineRequest,
    res: ServerResponse,
  ): Promise<void> {
    const abort = new AbortController();
    res.once('close', () => abort.abort());
    try {
      for await (const event of this.engine.generate(req, abort.signal)) {
        if (!res.headersSent)
          res.writeHead(STATUS_OK, {'content-type': 'text/event-stream'});
        res.write(`data: ${JSON.stringify(event)}\n\n`);
      }
      res.end();
    } catch (err) {
      sendError(res, err);
    }
  }
}

function guarded(handle: Routes[string]): Routes[string] {
  return async (req, res) => {
    try {
      await handle(req, res);
    } catch (err) {
      if (!(err instanceof EngineError)) throw err;
      sendError(res, err);
    }
  };
}

/** A reader that cannot be told any more sees its connection break. */
function sendError(res: ServerResponse, err: unknown): void {
  const {kind, message} = err as EngineError;
  if (res.headersSent || kind === 'lost') res.destroy();
  else sendJson(res, ERROR_STATUS[kind], {kind, message});
}
