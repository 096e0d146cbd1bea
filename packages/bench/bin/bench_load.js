#!/usr/bin/env node
import {loadBenchText, runLoadBench} from '../dist/lib/load/load_bench.js';

const nodeArgs = process.argv.slice(2).filter(arg => arg !== '--json');
const bench = await runLoadBench(nodeArgs);
const json = process.argv.includes('--json');
console.log(json ? JSON.stringify(bench) : loadBenchText(bench));
process.exit();
