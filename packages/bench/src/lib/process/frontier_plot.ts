/** The frontier of harm against throughput, as SVG, one panel per trace. */
import * as vega from 'vega';
import {compile} from 'vega-lite';
import type {TopLevelSpec} from 'vega-lite';
import type {ReportRow} from './policy_report.js';

const WIDTH = 260;
const HEIGHT = 180;
const COLUMNS = 3;
/** Harm beyond this is drawn at the edge. */
const MOST_HARM = 6;

function familyOf(policy: string): string {
  if (policy.startsWith('cap-')) return 'fixed cap';
  return policy.startsWith('weight-') ? 'oathead by weight' : policy;
}

/**
 * @param rows - What was measured, of all traces.
 * @returns The plot.
 */
export function frontierPlot(rows: readonly ReportRow[]): Promise<string> {
  const values = rows
    .filter(({policy}) => policy !== 'alone')
    .map(row => ({
      trace: `trace ${row.trace}`,
      family: familyOf(row.policy),
      throughput: row.throughput,
      harm: Math.min(MOST_HARM, row.harm),
    }));
  const spec: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    background: 'white',
    title: 'Harm to the online p99 against batch throughput',
    data: {values},
    facet: {field: 'trace', type: 'nominal', title: null},
    columns: COLUMNS,
    spec: {
      width: WIDTH,
      height: HEIGHT,
      mark: {type: 'point', filled: true, size: 60},
      encoding: {
        x: {
          field: 'throughput',
          type: 'quantitative',
          title: 'batch tokens, share of the idle bound',
        },
        y: {
          field: 'harm',
          type: 'quantitative',
          scale: {type: 'log', domain: [0.8, MOST_HARM]},
          title: 'p99 over p99 of online alone',
        },
        color: {field: 'family', type: 'nominal', title: 'policy'},
        shape: {field: 'family', type: 'nominal', title: 'policy'},
      },
    },
  };
  const view = new vega.View(vega.parse(compile(spec).spec), {
    renderer: 'none',
  });
  return view.toSVG();
}
