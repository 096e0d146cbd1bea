/** Reads a complete request body up to a size limit. */
import type {IncomingMessage} from 'node:http';
import {ByteBuffer, failure, success, type Outcome} from '@oathead/core';

/**
 * Why the body could not be read: it exceeds the limit, or the connection
 * closed before its end.
 */
export type BodyError = 'too-large' | 'cut';

/**
 * @param req - The request.
 * @param maxBytes - Maximum size of the body, in bytes.
 * @returns The body, or why it could not be read.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Outcome<Buffer, BodyError>> {
  return new Promise(resolve => {
    const body = new ByteBuffer();
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) {
        body.push(chunk);
        return;
      }
      resolve(failure('too-large'));
      body.clear();
    });
    req.on('end', () => resolve(success(body.bytes())));
    req.on('error', () => resolve(failure('cut')));
    req.on('close', () => resolve(failure('cut')));
  });
}
