/**
 * Bundles the programs that the platform starts, one file each: a single file
 * is read and compiled quicker than some hundred modules. Sources are taken as
 * they are (the `source` condition of the packages), so nothing is written
 * outside `target/`.
 */
import {build} from 'esbuild';

await build({
  entryPoints: {oathead: 'platform/src/main.ts'},
  outdir: 'target',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  conditions: ['source'],
  minifySyntax: true,
  sourcemap: false,
  outExtension: {'.js': '.mjs'},
  // Libraries in CommonJS ask for Node's own modules by `require`.
  banner: {
    js: "import {createRequire as bundleRequire} from 'node:module'; const require = bundleRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
