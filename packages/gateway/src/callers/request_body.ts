/** Reads the bodies of callers' requests. */
import type { IncomingMessage } from "node:http";
import {
  createBodyBuffer,
  createProgress,
  type MemoryShare,
} from "@rosemarypin/connections";
import type { CallerLimits } from "../configuration.ts";

/** The body, `null` if there is none, or why it was not read to its end. */
export type RequestBody =
  | Buffer
  | null
  | "too_large"
  /** The bodies of other requests take all memory that there is for them. */
  | "no_room"
  | "too_slow"
  | "broken";

export interface ReadBodyOptions extends Pick<CallerLimits, "bodyBytes"> {
  /** Bounds the memory; the reader of the body releases it. */
  readonly room?: MemoryShare;
  /** Time limit for receiving it. */
  readonly timeoutMs?: number;
}

interface CollectOptions extends ReadBodyOptions {
  /** Its length, for which there is room; 0 if it is not known. */
  readonly length: number;
}

/**
 * Reads a whole body. The rest of one that is refused stays unread, and its
 * connection open for an answer.
 */
export async function readRequestBody(
  request: IncomingMessage,
  { bodyBytes, room, timeoutMs }: ReadBodyOptions,
): Promise<RequestBody> {
  const length = Number(request.headers["content-length"] ?? 0);
  if (length > bodyBytes) return "too_large";
  // Several bodies that each have a part of the room they need would all wait.
  const hasRoom = !room || room.tryTake(length) || (await room.waitFor(length));
  if (!hasRoom) return request.destroyed ? "broken" : "no_room";
  if (request.destroyed) return "broken";
  return collect(request, {
    bodyBytes,
    length,
    ...(room ? { room } : {}),
    ...(timeoutMs === undefined ? {} : { timeoutMs }),
  });
}

/** Listens by hand: a `for await` that ends early destroys the connection. */
function collect(
  request: IncomingMessage,
  { bodyBytes, room, timeoutMs, length }: CollectOptions,
): Promise<RequestBody> {
  const body = createBodyBuffer(length > 0 ? length : bodyBytes);
  const progress = createProgress();
  return new Promise((resolve) => {
    const isArriving = !request.complete && timeoutMs !== undefined;
    const timer = isArriving
      ? setTimeout(() => finish("too_slow"), timeoutMs)
      : undefined;
    room?.onGiveUp(() => finish("no_room"));
    request.on("data", take);
    request.once("end", end);
    request.once("error", fail);
    request.once("close", fail);

    function finish(result: RequestBody): void {
      clearTimeout(timer);
      room?.onGiveUp(null);
      request.off("data", take);
      request.off("end", end);
      request.off("error", fail);
      request.off("close", fail);
      resolve(result);
    }

    function take(chunk: Buffer): void {
      if (body.length() + chunk.length > bodyBytes) return finish("too_large");
      const growth = length > 0 ? 0 : body.growthFor(chunk.length);
      body.add(chunk);
      if (progress.isMade(body.length())) room?.progress();
      if (!room || growth === 0 || room.tryTake(growth)) return;
      request.pause();
      void room.waitFor(growth).then((hasRoom) => {
        if (hasRoom) request.resume();
        else finish("no_room");
      });
    }

    function end(): void {
      finish(body.length() === 0 ? null : body.content());
    }

    function fail(): void {
      finish("broken");
    }
  });
}
