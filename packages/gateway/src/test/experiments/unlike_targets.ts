/**
 * Prints how a fleet with targets of unlike speed serves a burst, with and
 * without estimates of the speeds. Arguments: names of loads and seeds, each
 * separated by commas.
 */
import {DEFAULT_LOAD_REPORT_OPTIONS} from '../../lib/process/load_reporter.js';
import {
  FleetSimulator,
  type FleetOptions,
  type FleetScenario,
} from '../fakes/fleet_simulator.js';

const UNLIKE: FleetScenario = {
  seed: 1,
  dataCentres: 3,
  hosts: 11,
  targets: 11,
  slots: 8,
  runMs: 650,
  firstByteMs: 60,
  itemMs: 5000,
  items: 4,
  pressure: 'relaxed',
  goalMs: 300,
  callerTimeoutMs: 5000,
  calmRate: 120,
  burstRate: 300,
  burstAtMs: 8000,
  lengthMs: 14_000,
  speeds: [0.6, 1, 1.6, 1],
};
const LOADS: Readonly<Record<string, FleetScenario>> = {
  unlike: UNLIKE,
  full: {...UNLIKE, burstRate: 400},
  crowded: {...UNLIKE, firstDataCentreWeight: 2},
  slow: {
    ...UNLIKE,
    speeds: [1],
    slowFirstTarget: {by: 5, fromMs: 7000, toMs: 13_000},
  },
  added: {...UNLIKE, lastTargetAddedAtMs: 9000},
  alike: {...UNLIKE, speeds: [1]},
};
const COORDINATED: FleetOptions = {
  ...DEFAULT_LOAD_REPORT_OPTIONS,
  coordinated: true,
  usesRemoteCoordinators: true,
};
const WAYS: Readonly<Record<string, Partial<FleetOptions>>> = {
  off: {learnsSpeeds: false},
  alone: {sharesSpeeds: false},
  learned: {},
};

const [, , loads = Object.keys(LOADS).join(), seeds = '1'] = process.argv;
for (const name of loads.split(',')) {
  for (const [way, options] of Object.entries(WAYS)) {
    for (const seed of seeds.split(',').map(Number)) {
      const scenario = {...LOADS[name]!, seed};
      const simulator = new FleetSimulator(scenario, {
        ...COORDINATED,
        ...options,
      });
      console.log(name, way, seed, JSON.stringify(await simulator.run()));
    }
  }
}
