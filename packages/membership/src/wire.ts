/** Encoding and decoding of datagrams. */
import {
  type MemberNews,
  type PeerDatagram,
  peerDatagramSchema,
  toTuple,
} from "@rosemarypin/schemas";

/** Datagrams up to this size are not fragmented on common links. */
export const LARGEST_DATAGRAM_BYTES = 1_200;
/** Size of IPv4 and UDP headers, which count as traffic. */
export const HEADER_BYTES = 28;

/** The part of a datagram that depends on its method. */
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

/** The part that all datagrams have: sender, table hash and news. */
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
 * Decodes and validates a datagram; `null` if it is malformed or too large, as
 * anything can arrive at an open port.
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
