/** Load reports with only what a test is about. */
import type {LoadReport} from '@oathead/core';

const IDLE: LoadReport = {
  targetId: 't',
  dataCentre: 'hall-a',
  sequence: 1,
  leaving: false,
  cfgRevision: 0,
  versions: [],
  onlineRunning: 0,
  onlineQueued: 0,
  onlineCapacity: 8,
  batchRunning: 0,
  batchQueued: 0,
  batchRoom: 8,
  prefillTokens: 0,
  stepMs: 10,
  engineDown: false,
};

export function loadReport(report: Partial<LoadReport> = {}): LoadReport {
  return {...IDLE, ...report};
}

/** What a target has loaded, as `version:state`, of the model `m`. */
export function served(...texts: readonly string[]): LoadReport['versions'] {
  return texts.map(text => {
    const [version, state] = text.split(':');
    return {
      pool: 'm',
      version: version!,
      adapters: [],
      state: state as LoadReport['versions'][number]['state'],
    };
  });
}
