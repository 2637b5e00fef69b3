/** Divides an instance's memory among what grows with its callers. */
import type { GatewaySettings } from "./settings.ts";

const MEBIBYTE = 1_048_576;
/** Memory of the process, its code and its state of the deployment. */
const PROCESS_BYTES = 80 * MEBIBYTE;
/** Least memory that is divided, on a machine that is too small. */
const MIN_DIVIDED_BYTES = 32 * MEBIBYTE;
/**
 * Shares of the rest. An eighth more is for bytes that aren't parsed, and another
 * one for small bodies and answers, which no budget holds up.
 */
const BODY_SHARE = 1 / 4;
const UNREAD_SHARE = 1 / 4;
const REQUEST_SHARE = 1 / 8;
const ANSWER_SHARE = 1 / 8;
const MAX_ANSWER_BYTES = 64 * MEBIBYTE;
/** Bytes that the kernel accepts on a connection that isn't read. */
const UNREAD_BYTES = 65_536;
/** Descriptors that are set aside for files. */
const FILE_DESCRIPTORS = 200;
/** Share of the others for callers; servers, peers and the store use the rest. */
const CALLER_DESCRIPTOR_SHARE = 0.7;

export type MemoryBounds = Required<
  Pick<
    GatewaySettings,
    | "bodyBudgetBytes"
    | "requestBudgetBytes"
    | "answerBudgetBytes"
    | "maxConnections"
  >
>;

/** Bounds that together fit in a machine of this size. */
export function memoryBoundsOf(machine: {
  readonly memoryBytes: number;
  readonly descriptors: number;
}): MemoryBounds {
  const dividedBytes = Math.max(
    MIN_DIVIDED_BYTES,
    machine.memoryBytes - PROCESS_BYTES,
  );
  const descriptors =
    (machine.descriptors - FILE_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE;
  const connections = (dividedBytes * UNREAD_SHARE) / UNREAD_BYTES;
  return {
    bodyBudgetBytes: Math.floor(dividedBytes * BODY_SHARE),
    requestBudgetBytes: Math.floor(dividedBytes * REQUEST_SHARE),
    answerBudgetBytes: Math.floor(
      Math.min(MAX_ANSWER_BYTES, dividedBytes * ANSWER_SHARE),
    ),
    maxConnections: Math.max(1, Math.floor(Math.min(descriptors, connections))),
  };
}
