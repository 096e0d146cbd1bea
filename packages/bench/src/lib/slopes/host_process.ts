/** A process that runs parts of a fleet for a bench. */
import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {HostAnswer, HostRequest, Usage} from './host_protocol.js';

const SCRIPT = fileURLToPath(new URL('node_host.js', import.meta.url));

/** A process that runs parts of a fleet. */
export class HostProcess implements Disposable {
  private readonly child: ChildProcess;
  private last: Promise<unknown> = Promise.resolve();

  constructor() {
    this.child = fork(SCRIPT, {execArgv: ['--expose-gc']});
  }

  /**
   * @param req - What to run.
   * @returns The ports on which it listens, in the order asked for.
   */
  async run(req: HostRequest): Promise<readonly number[]> {
    const answer = await this.ask(req);
    if (answer.kind !== 'ports') throw new Error('the process gave no ports');
    return answer.ports;
  }

  /**
   * @param collect - Whether to collect garbage first.
   * @returns What the process has used since it started.
   */
  async usage(collect = false): Promise<Usage> {
    const answer = await this.ask({kind: 'usage', collect});
    if (answer.kind !== 'usage') throw new Error('the process told no usage');
    return answer.usage;
  }

  /** Ends the process. */
  [Symbol.dispose](): void {
    this.child.kill();
  }

  private async ask(req: HostRequest): Promise<HostAnswer> {
    const turn = this.last.then(() => this.askNow(req));
    this.last = turn.catch(() => {});
    const answer = await turn;
    if (answer.kind === 'failed') throw new Error(answer.message);
    return answer;
  }

  private askNow(req: HostRequest): Promise<HostAnswer> {
    return new Promise((resolve, reject) => {
      const onExit = () => reject(new Error('the process has ended'));
      this.child.once('exit', onExit);
      this.child.once('message', message => {
        this.child.off('exit', onExit);
        resolve(message as HostAnswer);
      });
      this.child.send(req);
    });
  }
}
