/** Files that are gone after a test. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

export interface TempFile extends Disposable {
  readonly path: string;
}

export function tempFile(name: string, content: string): TempFile {
  const dir = mkdtempSync(join(tmpdir(), 'oathead-'));
  const path = join(dir, name);
  writeFileSync(path, content);
  return {
    path,
    [Symbol.dispose]: () => rmSync(dir, {recursive: true}),
  };
}
