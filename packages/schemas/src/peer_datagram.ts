/** Datagrams between instances: JSON-RPC 2.0 notifications. */
import { z } from "zod";
import { addressSchema, nameSchema, noteNumberSchema } from "./names.ts";
import type { MemberRecord } from "./peer.ts";

/**
 * Statuses of an instance in datagrams, sent as their index. Between two reports
 * of the same revision, the later status in this list prevails.
 */
export const memberStatuses = ["alive", "suspect", "dead", "left"] as const;
export type MemberStatus = (typeof memberStatuses)[number];

/** A membership record with the status that the sender sees. */
export interface MemberNews {
  readonly record: MemberRecord;
  readonly status: MemberStatus;
}

/**
 * A membership record on the wire, an array because field names would double
 * its size. Elements: id, failure domain, host, port, incarnation, revision,
 * status, note, draining, load.
 */
const memberTupleSchema = z.tuple([
  nameSchema,
  nameSchema,
  addressSchema.shape.host,
  addressSchema.shape.port,
  z.number(),
  z.number().int().nonnegative(),
  z
    .number()
    .int()
    .min(0)
    .max(memberStatuses.length - 1),
  noteNumberSchema,
  z.union([z.literal(0), z.literal(1)]),
  z.number().int().nonnegative(),
]);
export type MemberTuple = z.infer<typeof memberTupleSchema>;

const memberNewsSchema = memberTupleSchema.transform(fromTuple);

/** Parameters that every datagram has. */
const commonShape = {
  /** The sender's record of itself. */
  from: memberNewsSchema,
  /** Hash of the sender's whole member table, to detect that tables differ. */
  hash: z.number().int(),
  /** Recently changed records, as many as fit into the datagram. */
  news: z.array(memberNewsSchema),
};

const notification = <Method extends string, Shape extends z.ZodRawShape>(
  method: Method,
  shape: Shape,
) =>
  z.object({
    jsonrpc: z.literal("2.0"),
    method: z.literal(method),
    params: z.object({ ...commonShape, ...shape }),
  });

/** All datagrams, distinguished by their method. */
export const peerDatagramSchema = z.discriminatedUnion("method", [
  /** Asks for an `ack` with the same sequence number. */
  notification("ping", { sequence: z.number().int() }),
  /** An `ack` relayed by a third instance names its origin in `about`. */
  notification("ack", {
    sequence: z.number().int(),
    about: nameSchema.optional(),
  }),
  /** Asks the receiver to ping `target` and to relay its `ack`. */
  notification("ping_request", {
    sequence: z.number().int(),
    target: addressSchema,
  }),
  /** Only the common parameters, sent when news must spread immediately. */
  notification("news", {}),
  /** Asks for the records of each bucket whose hash differs. */
  notification("sync", { digests: z.string().max(512) }),
]);
export type PeerDatagram = z.infer<typeof peerDatagramSchema>;

/** Encodes a record for the wire. */
export function toTuple({ record, status }: MemberNews): MemberTuple {
  const { shared } = record;
  return [
    record.id,
    record.failureDomain,
    record.peer.host,
    record.peer.port,
    record.incarnation,
    record.revision,
    memberStatuses.indexOf(status),
    shared.note,
    shared.draining ? 1 : 0,
    shared.load,
  ];
}

function fromTuple(tuple: MemberTuple): MemberNews {
  const [id, failureDomain, host, port, incarnation, revision] = tuple;
  const [, , , , , , statusIndex, note, draining, load] = tuple;
  const status = memberStatuses[statusIndex] ?? "alive";
  const shared = { note, draining: draining === 1, load };
  const peer = { host, port };
  const left = status === "left";
  return {
    status,
    record: { id, failureDomain, peer, incarnation, revision, left, shared },
  };
}
