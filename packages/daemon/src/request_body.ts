/** Reads bodies of requests within bounds of size and memory. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { badCall, type CallFailure, notRun } from "@rosemarypin/calls";
import {
  type CallerMemory,
  createBodyBuffer,
  createCallerMemory,
  createProgress,
  type MemoryShare,
} from "@rosemarypin/connections";

/** Share of the memory for bodies that one sender may hold. */
const SENDER_SHARE = 1 / 4;
const MEMORY_RETRY_SECONDS = 1;

/** The body of a request, or why it was not taken. */
export type BodyResult =
  | { readonly kind: "body"; readonly body: Buffer }
  | { readonly kind: "refused"; readonly failure: CallFailure }
  | { readonly kind: "aborted" };

interface BodyShare
  extends Pick<MemoryShare, "tryTake" | "progress" | "onGiveUp" | "release"> {
  /** Gives the sender's share back, since the body is whole. */
  arrived(): void;
}

/** Memory that bodies may take together. */
export interface BodyMemory {
  /** Opens the share of one body of `sender`. */
  open(sender: string): BodyShare;
}

/**
 * Divides the memory for bodies that arrive among senders. Were there one bound
 * for all, one organisation with many slow bodies would shut the others out. So
 * each may hold only a share, and only its own bodies are given up for it.
 */
export function createBodyMemory(memory: CallerMemory): BodyMemory {
  const senders = new Map<string, CallerMemory>();

  function memoryOf(sender: string): CallerMemory {
    const existing = senders.get(sender);
    if (existing) return existing;
    const own = createCallerMemory(memory.limitBytes * SENDER_SHARE, {
      smallBytes: 0,
    });
    senders.set(sender, own);
    return own;
  }

  return {
    open(sender) {
      const senderMemory = memoryOf(sender);
      const own = senderMemory.open();
      const all = memory.open();
      const parts = [own, all] as const;
      const arrived = (): void => {
        own.release();
        if (senderMemory.heldBytes() === 0) senders.delete(sender);
      };
      return {
        tryTake: (bytes) => parts.every((part) => part.tryTake(bytes)),
        progress: () => parts.forEach((part) => void part.progress()),
        onGiveUp: (end) => parts.forEach((part) => void part.onGiveUp(end)),
        arrived,
        release() {
          arrived();
          all.release();
        },
      };
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

interface RequestParts {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Reads a whole body; its memory counts until the response is closed. */
export async function readBody(
  exchange: RequestParts,
  options: ReadBodyOptions,
): Promise<BodyResult> {
  const { request, response } = exchange;
  const failure = checkHeaders(request, options.limit);
  if (failure) return { kind: "refused", failure };
  if (request.headers.expect !== undefined) response.writeContinue();
  const result = await collect(exchange, options);
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
  { request, response }: RequestParts,
  options: ReadBodyOptions,
): Promise<BodyResult> {
  const { limit, memory, sender } = options;
  const body = createBodyBuffer(limit);
  const progress = createProgress();
  const share = memory.open(sender);
  response.once("close", share.release);
  return new Promise((resolve) => {
    const finish = (result: BodyResult): void => {
      request.off("data", take);
      request.off("end", end);
      request.off("close", abort);
      share.onGiveUp(null);
      if (result.kind === "body") share.arrived();
      else share.release();
      resolve(result);
    };
    const refuse = (failure: CallFailure) =>
      finish({ kind: "refused", failure });
    share.onGiveUp(() => refuse(memoryFull()));
    const take = (chunk: Buffer): void => {
      if (body.length() + chunk.length > limit) return refuse(tooLarge(limit));
      const growth = body.growthFor(chunk.length);
      if (growth > 0 && !share.tryTake(growth)) return refuse(memoryFull());
      body.add(chunk);
      if (progress.isMade(body.length())) share.progress();
    };
    const end = () => finish({ kind: "body", body: body.content() });
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
