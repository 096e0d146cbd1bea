import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {z} from 'zod';
import {loadSettings, formatSettingsError} from '../../lib/process/settings.js';

const SCHEMA = z.strictObject({
  port: z.int().min(1),
  hosts: z.array(z.string()).default([]),
});

async function settingsFile(text: string): Promise<string> {
  const file = join(await mkdtemp(join(tmpdir(), 'oathead-')), 'cfg.json');
  await writeFile(file, text);
  return file;
}

test('fills in defaults', async t => {
  const file = await settingsFile('{"port": 80}');
  const loaded = await loadSettings(file, SCHEMA);
  t.deepEqual(loaded, {ok: true, value: {port: 80, hosts: []}});
});

test('lists every problem with its path', async t => {
  const file = await settingsFile('{"port": 0, "hosts": [1], "prot": 2}');
  const loaded = await loadSettings(file, SCHEMA);
  if (loaded.ok) return t.fail();
  t.deepEqual(loaded.err.problems.map(p => p.path).sort(), [
    '(whole)',
    'hosts.0',
    'port',
  ]);
  t.is(formatSettingsError(loaded.err).split('\n').length, 3);
});

test('distinguishes invalid JSON from a missing file', async t => {
  const broken = await loadSettings(await settingsFile('{'), SCHEMA);
  const missing = await loadSettings('does-not-exist.json', SCHEMA);
  t.is(!broken.ok && broken.err.kind, 'not-json');
  t.is(!missing.ok && missing.err.kind, 'unreadable');
});
