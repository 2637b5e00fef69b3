/** Encodes and decodes datagrams, and keeps them small. */
import {
  type MemberNews,
  type PeerDatagram,
  peerDatagramSchema,
  toTuple,
} from "@rosemarypin/schemas";

/** A datagram of this size crosses usual links without being fragmented. */
export const LARGEST_DATAGRAM_BYTES = 1_200;
/** IPv4 and UDP headers; counted as traffic, since links carry them too. */
export const HEADER_BYTES = 28;

/** A datagram before its common part is filled in. */
export type DatagramBody =
  | { readonly method: "ping"; readonly sequence: number }
  | {
      readonly method: "ack";
      readonly sequence: number;
      readonly about?: string;
    }
  | {
      readonly method: "ping_request";
      readonly sequence: number;
      readonly target: { readonly host: string; readonly port: number };
    }
  | { readonly method: "news" }
  | { readonly method: "sync"; readonly digests: string };

/** The common part of every datagram. */
export interface DatagramHead {
  readonly from: MemberNews;
  readonly hash: number;
  readonly news: readonly MemberNews[];
}

/** Encodes a datagram as a JSON-RPC notification. */
export function encodeDatagram(
  { method, ...rest }: DatagramBody,
  head: DatagramHead,
): Uint8Array {
  const params = {
    ...rest,
    from: toTuple(head.from),
    hash: head.hash,
    news: head.news.map(toTuple),
  };
  return Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
}

/** Bytes that one more record adds to a datagram. */
export function newsBytes(news: MemberNews): number {
  return JSON.stringify(toTuple(news)).length + 1;
}

/**
 * Decodes a datagram; `null` for what is not one. Anything can arrive at an
 * open port, so nothing is taken for granted before the schema has passed it.
 */
export function decodeDatagram(datagram: Uint8Array): PeerDatagram | null {
  if (datagram.length > LARGEST_DATAGRAM_BYTES) return null;
  try {
    const value: unknown = JSON.parse(Buffer.from(datagram).toString());
    const parsed = peerDatagramSchema.safeParse(value);
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
