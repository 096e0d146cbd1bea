/**
 * Bundles the program that the platform starts into a single file, which is read and
 * compiled quicker than some hundred modules, and keeps its compiled code. Sources are taken as
 * they are (the `source` condition of the packages), so nothing is written
 * outside `target/`.
 */
import {readFile, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {cwd} from 'node:process';
import {build} from 'esbuild';

const TARGET = 'target';
/** The parts of undici that are used; its index loads all others, too. */
const UNDICI_PARTS = `
  import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
  import request from 'undici/lib/api/api-request.js';
  Dispatcher.prototype.request = request;
  export {default as Client} from 'undici/lib/dispatcher/client.js';
  export {default as Pool} from 'undici/lib/dispatcher/pool.js';
  export {default as buildConnector} from 'undici/lib/core/connect.js';
  export {default as errors} from 'undici/lib/core/errors.js';
`;

/** Leaves out what libraries bring along and the programs never use. */
const usedParts = {
  name: 'used-parts',
  setup(bundle) {
    bundle.onResolve({filter: /^undici$/}, () => ({
      path: 'undici',
      namespace: 'used-parts',
    }));
    bundle.onLoad({filter: /^undici$/, namespace: 'used-parts'}, () => ({
      contents: UNDICI_PARTS,
      resolveDir: cwd(),
    }));
    // Logs of histograms in a format that is not used here.
    bundle.onLoad(
      {filter: /hdr-histogram-js\/dist\/HistogramLog(Writer|Reader)\.js$/},
      () => ({
        contents: 'export {};',
      }),
    );
    // Messages of schemas in forty languages.
    bundle.onLoad({filter: /zod\/v4\/locales\/index\.js$/}, () => ({
      contents: "export {default as en} from './en.js';",
    }));
  },
};

/** What waits for the hash functions is the program, before it serves: CommonJS has no
 * `await` outside of functions. */
const hashesAwaitedLater = {
  name: 'hashes-awaited-later',
  setup(bundle) {
    bundle.onLoad(
      {filter: /core\/src\/lib\/process\/hash\.ts$/},
      async ({path}) => {
        const source = await readFile(path, 'utf8');
        return {
          contents: source.replace('await hashesReady;', ''),
          loader: 'ts',
        };
      },
    );
  },
};

const COMMON = {
  outdir: TARGET,
  bundle: true,
  platform: 'node',
  target: 'node20',
  conditions: ['source'],
  // Libraries' ES modules: of these only what is used gets in.
  mainFields: ['module', 'main'],
  minifySyntax: true,
  sourcemap: false,
  logLevel: 'warning',
};

await build({
  ...COMMON,
  entryPoints: {serving: 'platform/src/lib/process/run_serving.ts'},
  format: 'cjs',
  outExtension: {'.js': '.cjs'},
  plugins: [usedParts, hashesAwaitedLater],
});
await build({
  ...COMMON,
  entryPoints: {
    oathead: 'platform/src/bundled_main.ts',
    code_cache: 'platform/src/lib/process/code_cache.ts',
  },
  format: 'esm',
  outExtension: {'.js': '.mjs'},
});

const file = join(cwd(), TARGET, 'serving.cjs');
const cacheFile = join(cwd(), TARGET, 'serving.cache');
await rm(cacheFile, {force: true});
const {loadBundle} = await import(join(cwd(), TARGET, 'code_cache.mjs'));
// Loaded once, so that the code that runs at each start is compiled, too.
await writeFile(cacheFile, loadBundle(file, cacheFile).compiledCode());
