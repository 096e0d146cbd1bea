/** What the real process is made of. */
import {TargetAdmission} from '@oathead/core';
import {HttpEngineClient} from '../connection/http_engine_client.js';
import {HttpServiceClient} from '../connection/http_service_client.js';
import type {MainParts} from './main.js';

/** The parts of the real process. */
export const MAIN_PARTS: MainParts = {
  createAdmission: () => new TargetAdmission(),
  createEngine: url => new HttpEngineClient(url),
  createService: url => new HttpServiceClient(url),
  print: text => void process.stdout.write(`${text}\n`),
  printError: text => void process.stderr.write(`${text}\n`),
};
