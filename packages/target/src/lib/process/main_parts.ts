/** What the real process is made of. */
import {EngineAdmission, InvariantError} from '@oathead/core';
import type {MainParts} from './main.js';

function missing(): never {
  throw new InvariantError('this build has no client for engines or services');
}

/** The parts of the real process. */
export const MAIN_PARTS: MainParts = {
  createAdmission: () => new EngineAdmission(),
  createEngine: missing,
  createService: missing,
  print: text => void process.stdout.write(`${text}\n`),
  printError: text => void process.stderr.write(`${text}\n`),
};
