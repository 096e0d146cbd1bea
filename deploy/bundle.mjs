/**
 * Bundles the programs that the platform starts, one file each: a single file
 * is read and compiled quicker than some hundred modules. Sources are taken as
 * they are (the `source` condition of the packages), so nothing is written
 * outside `target/`.
 */
import {cwd} from 'node:process';
import {build} from 'esbuild';

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
    // Messages of schemas in forty languages.
    bundle.onLoad({filter: /zod\/v4\/locales\/index\.js$/}, () => ({
      contents: "export {default as en} from './en.js';",
    }));
  },
};

await build({
  entryPoints: {oathead: 'platform/src/main.ts'},
  outdir: 'target',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  conditions: ['source'],
  // Libraries' ES modules: of these only what is used gets in.
  mainFields: ['module', 'main'],
  minifySyntax: true,
  sourcemap: false,
  outExtension: {'.js': '.mjs'},
  plugins: [usedParts],
  // Libraries in CommonJS ask for Node's own modules by `require`.
  banner: {
    js: "import {createRequire as bundleRequire} from 'node:module'; const require = bundleRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
