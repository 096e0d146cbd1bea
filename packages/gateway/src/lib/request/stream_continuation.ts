/**
 * Keeps a stream at the software version that began it, within one response and
 * when its caller takes it up.
 */
import type {EventLog} from '@oathead/core';
import type {Target} from '../connection/target.js';
import type {StreamVersions} from '../process/stream_versions.js';
import type {EventSink} from './exchange.js';
import type {ResponseWriter} from './response_writer.js';
import type {RequestMetadata} from './target_protocol.js';
import type {TargetSearch} from './target_search.js';

/** Dependencies of {@link StreamContinuation}. */
export interface StreamContinuationContext {
  readonly log: EventLog;
  readonly streamVersions: Pick<
    StreamVersions,
    'use' | 'record' | 'recordEnd' | 'continuationOf'
  >;
}

/** The request whose response may be a stream. */
export interface StreamRequest {
  readonly metadata: RequestMetadata;
  /** Whether its caller may take the stream up after it broke off. */
  readonly isResumable: boolean;
  /** When it ends at the latest, in monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly search: Pick<TargetSearch, 'restrictTo'>;
  readonly writer: ResponseWriter;
}

/** The stream of one request. */
export class StreamContinuation {
  /**
   * @param context - What the hosts know of streams.
   * @param request - The request.
   */
  constructor(
    private readonly context: StreamContinuationContext,
    private readonly request: StreamRequest,
  ) {}

  /**
   * Restricts a stream that its caller takes up to the software version that
   * began it.
   *
   * @param service - Service that is to go on with it.
   * @returns Whether the version is known, as far as it matters. Never rejects.
   */
  async learnVersion(service: string): Promise<boolean> {
    const {metadata, search} = this.request;
    const {lastEventId, resumes} = metadata;
    if (lastEventId === undefined) return true;
    const {log, streamVersions} = this.context;
    const {continuation, evidence, listed, knowledge} =
      await streamVersions.continuationOf(service, resumes);
    log.event('stream-taken-up', {
      request: metadata.requestId,
      resumes,
      afterEvent: lastEventId,
      service,
      ...continuation,
      evidence,
      listed,
      ...knowledge,
    });
    if (continuation.kind === 'at-version')
      search.restrictTo(continuation.softwareVersion);
    return continuation.kind !== 'unknown';
  }

  /**
   * From its first event on, the request goes only to targets of the version
   * that sent it.
   *
   * @param target - Where the request is sent.
   * @returns Receives the events of that run.
   */
  sinkFor(target: Target): EventSink {
    const {writer, isResumable, deadlineAt} = this.request;
    if (isResumable) this.context.streamVersions.use(target, deadlineAt);
    return {
      events: (events, head) => {
        if (!writer.hasStarted) this.begin(target);
        return writer.events(events, head);
      },
    };
  }

  /** Records that the caller has got the whole stream. */
  end(): void {
    const {streamId} = this;
    if (streamId !== undefined) this.context.streamVersions.recordEnd(streamId);
  }

  /** Records where the stream begins, before its caller gets anything of it. */
  private begin({service, softwareVersion}: Target): void {
    const {streamId} = this;
    const {search, deadlineAt} = this.request;
    search.restrictTo(softwareVersion);
    if (streamId === undefined) return;
    const origin = {service, softwareVersion};
    this.context.streamVersions.record(streamId, origin, deadlineAt);
  }

  /** ID of the attempt that got its first event; undefined if none may follow. */
  private get streamId(): string | undefined {
    const {metadata, isResumable} = this.request;
    const {requestId, lastEventId, resumes} = metadata;
    if (!isResumable) return undefined;
    return lastEventId === undefined ? requestId : resumes;
  }
}
