/** The rows by which hosts know of each other. */
import {isIPv4} from 'node:net';
import {isSocketAddress} from '@oathead/core';
import {z} from 'zod';

/** A process incarnation on a host. */
export interface Member {
  /** Unique for each start of the process. */
  readonly id: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly ip: string;
  /**
   * UDP port on which it receives load reports and other messages between
   * hosts.
   */
  readonly loadPort: number;
  /** Address on which it serves requests of other hosts. */
  readonly controlAddress: string;
  /**
   * The store's monotonic clock when its process had first read the rows of all
   * hosts, in milliseconds. It increases with each incarnation of a host. Omitted by
   * builds that do not announce it.
   */
  readonly startedAtMs?: number | undefined;
  /** ID of the incarnation of its host before it, if it knows of one. */
  readonly replaces?: string | undefined;
  /** Whether it is shutting down and takes no jobs; false if omitted. */
  readonly isLeaving?: boolean | undefined;
  /**
   * Whether it heeds the record of accounts ahead of their even pace when it
   * becomes a quota owner; false if omitted.
   */
  readonly readsAheadRecord?: boolean | undefined;
}

/** Table of heartbeats. */
export const MEMBER_TABLE = 'members';

/**
 * @param host - Name of a host.
 * @param nonce - Distinguishes this incarnation of its process from all others.
 * @returns ID of the incarnation.
 */
export function memberId(host: string, nonce: string): string {
  return `${host}.${nonce}`;
}

/**
 * @param id - ID of a process incarnation.
 * @returns Name of its host.
 */
export function hostOfMember(id: string): string {
  return id.slice(0, id.lastIndexOf('.'));
}

const MAX_PORT = 65_535;

/**
 * Schema of the rows of {@link MEMBER_TABLE}. The addresses are those that can be
 * sent to: Node.js throws when a datagram is sent to a port out of range, which
 * would end this process, and looks up anything that is no IP address for each
 * datagram.
 */
export const MEMBER = z.object({
  id: z.string(),
  host: z.string(),
  dataCentre: z.string(),
  ip: z.string().refine(isIPv4),
  loadPort: z.number().int().positive().max(MAX_PORT),
  controlAddress: z.string().refine(isSocketAddress),
  startedAtMs: z.number().optional(),
  replaces: z.string().optional(),
  isLeaving: z.boolean().optional(),
  readsAheadRecord: z.boolean().optional(),
});
