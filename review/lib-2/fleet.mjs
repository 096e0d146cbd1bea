/** A small deployment on loopback, and how a script ends. */
import {appendFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {configuration} from './config.mjs';
import {Host} from './host.mjs';
import {Server} from './server.mjs';
import {Store} from './store.mjs';

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env['TROUBLE'] !== '0';

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;
/** A script runs for 120 s at most, with the end of its processes. */
const MAX_RUN_MS = 117_000;

/** What a script writes into its folder. */
export class Record {
  startedAt = Date.now();

  constructor(folder) {
    this.file = join(folder, 'record.txt');
    writeFileSync(this.file, `TROUBLE=${HAS_TROUBLE ? 1 : 0}\n`);
  }

  /** Writes a line, with the seconds since the start. */
  say(line) {
    const at = ((Date.now() - this.startedAt) / 1000).toFixed(2).padStart(6);
    appendFileSync(this.file, `${at} s  ${line}\n`);
  }
}

/** All processes and stand-ins of one script. */
export class Fleet {
  hosts = [];
  servers = [];

  constructor(config = configuration(), figures = {}) {
    this.store = new Store(figures);
    this.store.put('op', 'config', config);
  }

  async addServer(options) {
    const server = await new Server(this.store, options).start();
    this.servers.push(server);
    return server;
  }

  async addHost(options = {}) {
    const host = await new Host({
      node: `edge-hall-a-${this.hosts.length + 1}`,
      endpoint: await this.store.open(),
      seeds: this.hosts.slice(0, 3).map(({control}) => control),
      ...options,
    }).prepare();
    this.hosts.push(host);
    return host.start();
  }

  async untilReady() {
    await Promise.all(this.hosts.map(host => host.untilReady()));
  }

  /** Ends all that was started. */
  async close() {
    await Promise.all(this.hosts.map(host => host.close()));
    for (const server of this.servers) server.close();
    this.store.close();
  }
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case
 * could not run.
 *
 * @param folder - Folder of the case.
 * @param run - Runs the case in a deployment; returns whether the rule held.
 * @param deployment - Creates the deployment.
 */
export async function runCase(folder, run, deployment = () => new Fleet()) {
  const record = new Record(folder);
  const fleet = deployment();
  let code = NOT_RUN;
  const fail = err => {
    record.say(`could not run: ${err?.stack ?? err}`);
    void fleet.close().finally(() => process.exit(NOT_RUN));
  };
  const watchdog = setTimeout(() => fail('out of time'), MAX_RUN_MS);
  watchdog.unref();
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => fail(signal));
  try {
    code = (await run(fleet, record)) ? HELD : BROKEN;
  } catch (err) {
    record.say(`could not run: ${err.stack}`);
  }
  record.say(['the rule held', 'the rule was broken', 'could not run'][code]);
  await fleet.close();
  process.exit(code);
}
