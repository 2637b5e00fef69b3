/** Writes an attempt's events to its reader. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { EngineEvent } from "@rosemarypin/schemas";
import type { Emit } from "./sequence.ts";

/** Starts the stream; events after the last one are left out. */
export function createEmit(response: ServerResponse): Emit {
  response.writeHead(200, { "content-type": "application/x-ndjson" });
  return (event) => {
    if (response.destroyed || response.writableEnded) return null;
    const hasRoom = response.write(`${JSON.stringify(event)}\n`);
    if (isLast(event)) {
      response.end();
      return null;
    }
    return hasRoom ? null : waitForRoom(response);
  };
}

async function waitForRoom(response: ServerResponse): Promise<void> {
  const left = new AbortController();
  const onClose = () => left.abort();
  response.once("close", onClose);
  try {
    await once(response, "drain", { signal: left.signal });
  } catch {
    // The reader left, which stops the sequence.
  } finally {
    response.off("close", onClose);
  }
}

function isLast({ type }: EngineEvent): boolean {
  return type === "done" || type === "cancelled" || type === "stage_lost";
}
