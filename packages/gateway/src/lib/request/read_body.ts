/** Reads a caller's body whole, within a bound. */
import type {IncomingMessage} from 'node:http';
import {failure, success, type Outcome} from '@oathead/core';

/** Why there is no body. */
export type BodyError = 'too-large' | 'cut';

/**
 * @param req - The request.
 * @param maxBytes - The largest body that is taken.
 * @returns The body, or why there is none.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Outcome<Buffer, BodyError>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) resolve(failure('too-large'));
      else chunks.push(chunk);
    });
    req.on('end', () => resolve(success(Buffer.concat(chunks))));
    req.on('error', () => resolve(failure('cut')));
    req.on('close', () => resolve(failure('cut')));
  });
}
