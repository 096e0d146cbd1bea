/**
 * What operators ask of resources over HTTP, apart from HTTP itself: a typed
 * request in, a typed answer out.
 */
import {notRun} from '@oathead/core';
import type {
  Condition,
  Outcome,
  Refusal,
  Resource,
  ResourceKind,
} from '@oathead/core';
import type {Watch, WatchEvent} from '../connection/watch.js';
import type {ConfigCache} from '../process/config_cache.js';
import type {ConfigStore} from '../process/config_store.js';
import type {StatusBoard} from '../process/status_board.js';
import type {FleetView} from '../version/fleet_view.js';
import {isResourceKind} from '../version/spec_schema.js';
import {changeOptionsOf, parseBody, parseSince} from './resource_request.js';
import type {ResourceRequest} from './resource_request.js';

/** A resource as operators see it. */
export interface ResourceView extends Resource {
  readonly status: {readonly conditions: readonly Condition[]};
}

/** A list as operators see it. */
export interface ResourceListView {
  /** Where a watch goes on from. */
  readonly revision: number;
  readonly resources: readonly ResourceView[];
}

/** What an operator is answered. */
export type ResourceResponse =
  | {
      readonly kind: 'answer';
      readonly headers: Readonly<Record<string, string>>;
      readonly body: ResourceView | ResourceListView;
    }
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  /** A watch: an event stream, each event by `watchFrame`. */
  | {readonly kind: 'events'; readonly events: AsyncIterable<WatchEvent>};

/** What answers are made from. */
export interface ResourceApiOptions {
  readonly store: ConfigStore;
  readonly cache: ConfigCache;
  readonly watch: Watch;
  /** Says what the system has done about them. */
  readonly board: StatusBoard;
}

type Handler = (
  req: ResourceRequest,
  signal: AbortSignal,
) => Promise<ResourceResponse>;

/** Set on answers from a view that may be behind, as in an outage. */
const STALE_HEADER = {'oathead-stale': 'true'};

/** Answers operators' requests about resources. */
export class ResourceApi {
  private readonly handlers: ReadonlyMap<string, Handler> = new Map([
    ['GET resources', (req, signal) => this.listOrWatch(req, signal)],
    ['GET kind', (req, signal) => this.listOrWatch(req, signal)],
    ['GET resource', req => this.get(req)],
    ['PUT resource', req => this.put(req)],
    ['DELETE resource', req => this.delete(req)],
  ] satisfies [string, Handler][]);

  /** @param options - What answers are made from. */
  constructor(private readonly options: ResourceApiOptions) {}

  /**
   * @param req - What is asked. The caller has been found to be an operator.
   * @param signal - Ends a watch when aborted.
   * @returns The answer.
   */
  async handle(
    req: ResourceRequest,
    signal: AbortSignal,
  ): Promise<ResourceResponse> {
    if (req.kind !== undefined && !isResourceKind(req.kind)) {
      return refuse(notRun('not-found', `there is no kind "${req.kind}"`));
    }
    const handler = this.handlers.get(`${req.method} ${levelOf(req)}`);
    if (!handler) {
      const message = `${req.method} cannot be used here`;
      return refuse(notRun('not-found', message));
    }
    return handler(req, signal);
  }

  private async listOrWatch(
    req: ResourceRequest,
    signal: AbortSignal,
  ): Promise<ResourceResponse> {
    const kind = req.kind as ResourceKind | undefined;
    if (!req.watch) return this.list(kind);
    const since = parseSince(req.since);
    if (!since.ok) return refuse(since.err);
    const opened = await this.options.watch.open(
      {since: since.value, kind},
      signal,
    );
    if (!opened.ok) return refuse(opened.err);
    return {kind: 'events', events: opened.value};
  }

  private async list(
    kind: ResourceKind | undefined,
  ): Promise<ResourceResponse> {
    const headers = await this.refresh();
    const snapshot = this.options.cache.current();
    const listed = kind ? snapshot.all(kind) : snapshot.resources;
    const fleet = this.options.board.fleet();
    const resources = listed.map(resource => this.view(resource, fleet));
    return answer({revision: snapshot.revision, resources}, headers);
  }

  private async get({kind, name}: ResourceRequest): Promise<ResourceResponse> {
    const headers = await this.refresh();
    const snapshot = this.options.cache.current();
    const resource = snapshot.get(kind as ResourceKind, name!);
    if (!resource) {
      return refuse(notRun('not-found', `${kind}/${name} is not declared`));
    }
    return answer(this.view(resource), headers);
  }

  private async put(req: ResourceRequest): Promise<ResourceResponse> {
    const body = parseBody(req);
    if (!body.ok) return refuse(body.err);
    const options = changeOptionsOf(req, body.value.resourceVersion);
    if (!options.ok) return refuse(options.err);
    const {kind, name} = req;
    const {spec} = body.value;
    const applied = await this.options.store.apply(
      kind as ResourceKind,
      name!,
      spec,
      options.value,
    );
    return this.changed(applied);
  }

  private async delete(req: ResourceRequest): Promise<ResourceResponse> {
    const options = changeOptionsOf(req);
    if (!options.ok) return refuse(options.err);
    const {kind, name} = req;
    const deleted = await this.options.store.delete(
      kind as ResourceKind,
      name!,
      options.value,
    );
    return this.changed(deleted);
  }

  private changed(outcome: Outcome<Resource, Refusal>): ResourceResponse {
    return outcome.ok ? answer(this.view(outcome.value)) : refuse(outcome.err);
  }

  /** An operator who has just changed something reads it back changed. */
  private async refresh(): Promise<Readonly<Record<string, string>>> {
    return (await this.options.cache.refresh()) ? {} : STALE_HEADER;
  }

  private view(resource: Resource, fleet?: FleetView): ResourceView {
    const conditions = this.options.board.conditions(resource, fleet);
    return {...resource, status: {conditions}};
  }
}

function levelOf({kind, name}: ResourceRequest): string {
  if (kind === undefined) return 'resources';
  return name === undefined ? 'kind' : 'resource';
}

function answer(
  body: ResourceView | ResourceListView,
  headers: Readonly<Record<string, string>> = {},
): ResourceResponse {
  if (!('resourceVersion' in body)) return {kind: 'answer', headers, body};
  const etag = `"${body.resourceVersion}"`;
  return {kind: 'answer', headers: {...headers, etag}, body};
}

function refuse(refusal: Refusal): ResourceResponse {
  return {kind: 'refused', refusal};
}
