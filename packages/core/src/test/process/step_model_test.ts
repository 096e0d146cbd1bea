import test from 'ava';
import {StepModel} from '../../lib/process/step_model.js';

const FIXED_MS = 20;
const PER_STREAM_MS = 0.3;
const stepMs = (streams: number) => FIXED_MS + PER_STREAM_MS * streams;

function fittedModel(): StepModel {
  const model = new StepModel();
  for (let i = 0; i < 200; i++) {
    const streams = 1 + (i % 30);
    model.learn(stepMs(streams), {streams, prefillTokens: 0});
  }
  return model;
}

test('fits the fixed cost, the cost per stream and per prompt token', t => {
  const model = fittedModel();
  t.true(model.ready);
  t.true(Math.abs(model.fixedMs - FIXED_MS) < 0.01);
  t.true(Math.abs(model.msPerStream - PER_STREAM_MS) < 0.001);
  model.learn(stepMs(10) + 64, {streams: 10, prefillTokens: 700});
  model.learn(stepMs(10) + 23.5, {streams: 10, prefillTokens: 188});
  model.endPrefill(700, true);
  t.true(Math.abs(model.msPerPrefillToken - 0.125) < 0.001);
  const long = model.predict({streams: 10, prefillTokens: 5000});
  t.true(Math.abs(long - (stepMs(10) + 64)) < 0.1);
});

test('is not ready before the number of streams has varied', t => {
  const model = new StepModel();
  for (let i = 0; i < 100; i++) {
    model.learn(stepMs(4), {streams: 4, prefillTokens: 0});
  }
  t.false(model.ready);
});

test('ignores an outlier, but adapts to a lasting change of speed', t => {
  const model = fittedModel();
  model.learn(400, {streams: 5, prefillTokens: 0});
  t.true(Math.abs(model.fixedMs - FIXED_MS) < 0.01);
  for (let i = 0; i < 200; i++) {
    const streams = 1 + (i % 30);
    model.learn(4 * stepMs(streams), {streams, prefillTokens: 0});
  }
  t.true(Math.abs(model.fixedMs - 4 * FIXED_MS) < 0.1);
});
