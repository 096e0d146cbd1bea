/** A real target process beside an engine that makes a token every 20 ms. */
import {SYSTEM_CLOCK, sleep} from '@oathead/core';
import type {EngineEvent, EngineRequest} from '@oathead/core';
import {runMain} from '../lib/process/main.js';
import {FakeEngine} from './fake_engine.js';
import {FixedAdmission} from './fixed_admission.js';

const TOKEN_MS = 20;

class SlowEngine extends FakeEngine {
  override async *generate(
    {completion}: EngineRequest,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const {maxTokens} = completion;
    for (let index = 0; index < maxTokens && !signal.aborted; index++) {
      await sleep(SYSTEM_CLOCK, TOKEN_MS, signal);
      yield {kind: 'token', index, text: `t${index} `};
    }
    const usage = {promptTokens: 3, completionTokens: maxTokens};
    yield {kind: 'done', usage, finishReason: 'length'};
  }
}

process.exitCode = await runMain(process.argv.slice(2), {
  createAdmission: () => new FixedAdmission(2),
  createEngine: () => new SlowEngine(),
  createService: () => ({call: async () => ({status: 200, body: ''})}),
  listening: ports => console.log(JSON.stringify(ports)),
  print: text => console.log(text),
  printError: text => console.error(text),
});
