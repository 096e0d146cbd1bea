import {LinkLostError} from '@oathead/core';
import type {ServeEvent, ServeRequest} from '@oathead/core';
import test from 'ava';
import fc from 'fast-check';
import type {FakeStream} from '../fake_engine.js';
import {
  follow,
  refusalText,
  request,
  send,
  startService,
  streamedText,
} from '../service_fixture.js';

/** The same verdict on every run; a failure prints what to repeat it with. */
const RUNS = {seed: 20_261_202, numRuns: 300};
const GRACE_MS = 2_000;
const MAX_TOKENS = 99;

const KINDS = [
  {class: 'online', idempotent: true},
  {class: 'online', idempotent: false},
  {class: 'online', idempotent: false, dedupeKey: true},
  {class: 'batch', idempotent: true, dedupeKey: true, stream: false},
  {class: 'batch', idempotent: false, dedupeKey: true, stream: false},
] as const;

interface Sent {
  readonly req: ServeRequest;
  readonly caller: ReturnType<typeof send>;
  /** Whether an engine had seen the request when it was refused. */
  seenWhenRefused: boolean;
  left: boolean;
}

/** One random history, and what must hold of it. */
class History {
  private readonly sent: Sent[] = [];
  private readonly made = new Map<FakeStream, number>();

  constructor(
    private readonly world: Awaited<ReturnType<typeof startService>>,
  ) {}

  readonly steps: readonly ((pick: number) => unknown)[] = [
    pick => this.send(pick),
    pick => this.resend(pick),
    pick => this.token(pick),
    pick => this.token(pick),
    pick => this.finish(pick, stream => stream.done()),
    pick => this.finish(pick, stream => stream.fail()),
    pick => this.leave(pick, undefined),
    pick => this.leave(pick, new LinkLostError('cut')),
    pick => this.reattach(pick),
    pick => this.world.pass(pick * 10),
    () => this.world.pass(GRACE_MS),
  ];

  async end(): Promise<void> {
    const {service, pass} = this.world;
    const drained = service.drain(GRACE_MS);
    await pass(3 * GRACE_MS);
    await drained;
    for (const {caller, left} of this.sent) {
      const last = await caller.ended;
      if (!left) assert(last && isOutcome(last), 'a caller has no outcome');
    }
  }

  check(): void {
    for (const sent of this.sent) {
      const {req, caller} = sent;
      const last = caller.got.at(-1);
      const runs = this.streamsOf(req);
      assert(req.idempotent || runs.length <= 1, 'ran more than once');
      const notRun = refusalText(last).endsWith(' not-run');
      assert(!notRun || !sent.seenWhenRefused, '"not run" was not true');
      if (last?.kind === 'done' && last.answer.kind === 'completion') {
        const {text, usage} = last.answer;
        assert(text === textOf(usage.completionTokens), 'answer not whole');
      }
    }
  }

  private send(pick: number): void {
    const kind = KINDS[pick % KINDS.length]!;
    const {dedupeKey, ...rest} = {dedupeKey: false, ...kind};
    const req = request({...rest, timeoutMs: 1_000 * (pick + 1)});
    const work = {...req.work, seed: this.sent.length} as ServeRequest['work'];
    const key = dedupeKey ? `k${this.sent.length}` : undefined;
    this.begin({...req, work, dedupeKey: key});
  }

  private resend(pick: number): void {
    const earlier = this.pickOf(this.sent, pick);
    if (!earlier) return;
    this.begin({...earlier.req, attempt: earlier.req.attempt + 1});
  }

  private begin(req: ServeRequest): void {
    this.watch(req, send(this.world.service, req), 0);
  }

  private reattach(pick: number): void {
    const {service} = this.world;
    const lost = this.pickOf(
      this.sent.filter(({left}) => left),
      pick,
    );
    if (!lost) return;
    const tokens = lost.caller.got.findLast(event => event.kind === 'tokens');
    const tokensSeen = tokens ? tokens.index + tokens.count : 0;
    const {id, attempt} = lost.req;
    const attachment = {
      id,
      attempt,
      bootId: service.bootId,
      sentAgoMs: 100,
      startedSeen: lost.caller.got.length > 0,
      tokensSeen,
    };
    const caller = follow(signal => service.attach(attachment, signal));
    this.watch(lost.req, caller, tokensSeen);
  }

  private watch(
    req: ServeRequest,
    caller: Sent['caller'],
    tokensSeen: number,
  ): void {
    const sent: Sent = {req, caller, seenWhenRefused: false, left: false};
    this.sent.push(sent);
    const key = `${req.id}#${req.attempt}`;
    void caller.ended.then(() => {
      const runs = this.streamsOf(req);
      sent.seenWhenRefused = req.idempotent
        ? runs.some(stream => stream.req.id === key)
        : runs.length > 0;
      const text = streamedText(caller.got, tokensSeen);
      const whole = textOf(MAX_TOKENS).slice(textOf(tokensSeen).length);
      assert(whole.startsWith(text), 'a stream does not fit its answer');
    });
  }

  private token(pick: number): void {
    const stream = this.pickOf(this.open(), pick);
    if (!stream) return;
    const index = this.made.get(stream) ?? stream.req.resume?.tokens ?? 0;
    stream.tokens(`t${index} `);
    this.made.set(stream, index + 1);
  }

  private finish(pick: number, how: (stream: FakeStream) => void): void {
    const stream = this.pickOf(this.open(), pick);
    if (stream) how(stream);
  }

  private leave(pick: number, reason: unknown): void {
    const sent = this.pickOf(this.sent, pick);
    if (!sent) return;
    sent.left = true;
    sent.caller.leave(reason);
  }

  private open(): readonly FakeStream[] {
    const {streams} = this.world.engine;
    return streams.filter(({out}) => !out.destroyed && !out.writableEnded);
  }

  private streamsOf(req: ServeRequest): readonly FakeStream[] {
    const {streams} = this.world.engine;
    const seedOf = (work: object) => (work as {seed?: number}).seed;
    return streams.filter(
      stream => seedOf(stream.req.completion) === seedOf(req.work),
    );
  }

  private pickOf<T>(list: readonly T[], pick: number): T | undefined {
    return list[pick % Math.max(1, list.length)];
  }
}

function textOf(tokens: number): string {
  return [...Array(tokens).keys()].map(index => `t${index} `).join('');
}

function isOutcome(event: ServeEvent): boolean {
  return event.kind !== 'started' && event.kind !== 'tokens';
}

function assert(condition: unknown, message: string): asserts condition {
  if (!condition) throw new Error(message);
}

// Callers resend, hang up, lose their connections and come back, while the
// engine answers, fails and is made room in, in any order. Whatever happens:
// "not run" is true, what may run only once does, every answer is whole, every
// stream has no hole, and everybody who stays gets an outcome.
test('the promises hold through random interleavings', async t => {
  const step = fc.record({
    step: fc.nat({max: 10}),
    pick: fc.nat({max: 9}),
  });
  const property = fc.asyncProperty(
    fc.array(step, {minLength: 5, maxLength: 60}),
    async steps => {
      const world = await startService({capacity: 2});
      const history = new History(world);
      for (const {step, pick} of steps) {
        await history.steps[step]!(pick);
        await world.pass(0);
      }
      await history.end();
      history.check();
    },
  );
  await fc.assert(property, RUNS);
  t.pass();
});
