/** Files that a verb is given. */
import {failure, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {usageError} from '../process/cli_error.js';
import type {CliError} from '../process/cli_error.js';

/**
 * @param path - Path of a file, or `-` for standard input.
 * @returns What is in it.
 */
export async function readTextFile(
  path: string,
): Promise<Outcome<string, CliError>> {
  try {
    if (path === '-') return success(await text(process.stdin));
    return success(await readFile(path, 'utf8'));
  } catch (err) {
    return failure(usageError(`cannot read: ${(err as Error).message}`));
  }
}
