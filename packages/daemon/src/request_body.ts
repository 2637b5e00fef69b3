/** Reads bodies of requests within bounds of size and memory. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { badCall, type CallFailure, notRun } from "@rosemarypin/calls";

/** Share of the memory for bodies that one sender may hold. */
const SENDER_SHARE = 1 / 4;
const MEMORY_RETRY_SECONDS = 1;

/** The body of a request, or why it was not taken. */
export type BodyResult =
  | { readonly kind: "body"; readonly body: Buffer }
  | { readonly kind: "refused"; readonly failure: CallFailure }
  | { readonly kind: "aborted" };

/** Memory that bodies on their way in may take together. */
export interface BodyMemory {
  /** Takes bytes for `sender`; `false` when there is no room. */
  take(sender: string, bytes: number): boolean;
  giveBack(sender: string, bytes: number): void;
}

/**
 * Creates a memory of `limit` bytes. Bodies that trickle in hold memory until
 * they time out; were there one bound for all, one organisation with many slow
 * bodies would shut the others out. So each may hold only a share.
 */
export function createBodyMemory(limit: number): BodyMemory {
  const held = new Map<string, number>();
  let total = 0;

  return {
    take(sender, bytes) {
      const own = (held.get(sender) ?? 0) + bytes;
      if (total + bytes > limit || own > limit * SENDER_SHARE) return false;
      held.set(sender, own);
      total += bytes;
      return true;
    },
    giveBack(sender, bytes) {
      const own = (held.get(sender) ?? 0) - bytes;
      total -= bytes;
      if (own > 0) held.set(sender, own);
      else held.delete(sender);
    },
  };
}

export interface ReadBodyOptions {
  /** Largest body, in bytes. */
  readonly limit: number;
  readonly memory: BodyMemory;
  /** Whose memory the body takes. */
  readonly sender: string;
}

/** Reads a whole body. */
export async function readBody(
  exchange: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
  },
  options: ReadBodyOptions,
): Promise<BodyResult> {
  const { request, response } = exchange;
  const failure = checkHeaders(request, options.limit);
  if (failure) return { kind: "refused", failure };
  if (request.headers.expect !== undefined) response.writeContinue();
  const result = await collect(request, options);
  if (result.kind === "refused") request.pause();
  return result;
}

function checkHeaders(
  request: IncomingMessage,
  limit: number,
): CallFailure | null {
  const encoding = request.headers["content-encoding"] ?? "identity";
  if (encoding !== "identity") {
    return badCall("unsupported_encoding", {
      message: "send the body without a content-encoding",
      status: 415,
    });
  }
  const announced = Number(request.headers["content-length"] ?? 0);
  return announced > limit ? tooLarge(limit) : null;
}

/** Listens by hand: a `for await` that ends early would cut the connection. */
function collect(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<BodyResult> {
  const { limit, memory, sender } = options;
  const chunks: Buffer[] = [];
  let size = 0;
  return new Promise((resolve) => {
    const finish = (result: BodyResult): void => {
      request.off("data", take);
      request.off("end", end);
      request.off("close", abort);
      memory.giveBack(sender, size);
      resolve(result);
    };
    const take = (chunk: Buffer): void => {
      if (size + chunk.length > limit) {
        return finish({ kind: "refused", failure: tooLarge(limit) });
      }
      if (!memory.take(sender, chunk.length)) {
        return finish({ kind: "refused", failure: memoryFull() });
      }
      size += chunk.length;
      chunks.push(chunk);
    };
    const end = () => finish({ kind: "body", body: Buffer.concat(chunks) });
    const abort = () => finish({ kind: "aborted" });
    request.on("data", take);
    request.once("end", end);
    request.once("close", abort);
  });
}

function tooLarge(limit: number): CallFailure {
  return badCall("body_too_large", {
    message: `a body may have ${limit} bytes; send a shorter one`,
    status: 413,
  });
}

function memoryFull(): CallFailure {
  return notRun("bodies_memory_full", {
    message: "too many request bodies are on their way in; ask again",
    retryAfterSeconds: MEMORY_RETRY_SECONDS,
  });
}
