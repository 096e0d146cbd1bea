/** A report of a load as a chart: latency by quantile, the tail spread out. */
import {View, parse} from 'vega';
import {compile} from 'vega-lite';
import type {TopLevelSpec} from 'vega-lite';
import type {LatencyReport, LoadReport} from './load_report.js';

const WIDTH = 640;
const HEIGHT = 360;

/**
 * @param report - A report.
 * @returns An SVG document.
 */
export async function loadReportSvg(report: LoadReport): Promise<string> {
  const {spec} = compile(chart(report));
  return new View(parse(spec), {renderer: 'none'}).toSVG();
}

function chart(report: LoadReport): TopLevelSpec {
  const {pool, requestsPerSecond, seconds} = report;
  return {
    title: `${pool}: ${requestsPerSecond} requests a second for ${seconds} s`,
    width: WIDTH,
    height: HEIGHT,
    data: {
      values: [
        ...points('first token', report.firstToken),
        ...points('between tokens', report.betweenTokens),
        ...points('whole answer', report.whole),
      ],
    },
    mark: {type: 'line', interpolate: 'step-after'},
    encoding: {
      x: {
        field: 'oneIn',
        type: 'quantitative',
        scale: {type: 'log'},
        title: 'one request in so many is slower',
      },
      y: {
        field: 'ms',
        type: 'quantitative',
        scale: {type: 'log'},
        title: 'milliseconds',
      },
      color: {field: 'latency', type: 'nominal', title: null},
    },
  };
}

interface Point {
  readonly latency: string;
  readonly oneIn: number;
  readonly ms: number;
}

function points(latency: string, {curve, count}: LatencyReport): Point[] {
  if (count === 0) return [];
  return curve.map(({quantile, ms}) => ({
    latency,
    oneIn: 1 / (1 - quantile),
    ms,
  }));
}
