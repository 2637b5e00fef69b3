/** Cuts a stream of server-sent events into whole events. */

const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from("id:");

/** One event as it was sent, with its blank line. */
export interface WholeEvent {
  readonly bytes: Buffer;
  /** The id that the event carries; `null` where it has none. */
  readonly id: string | null;
}

export interface EventSplitter {
  /** Takes bytes in and gives the events that they complete. */
  push(chunk: Buffer): WholeEvent[];
  /** Bytes behind the last whole event. */
  rest(): Buffer;
}

/**
 * Creates a splitter. A server may break off in the middle of an event; only
 * whole events go on, so that another server can go on behind the last one.
 */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);

  return {
    push(chunk) {
      pending = pending.length > 0 ? Buffer.concat([pending, chunk]) : chunk;
      const events: WholeEvent[] = [];
      let from = 0;
      for (;;) {
        const end = endOfEvent(pending, from);
        if (end < 0) break;
        const bytes = pending.subarray(from, end);
        events.push({ bytes, id: idOf(bytes) });
        from = end;
      }
      if (from > 0) pending = pending.subarray(from);
      return events;
    },
    rest: () => pending,
  };
}

/** Offset behind the blank line that ends the event, or -1. */
function endOfEvent(bytes: Buffer, from: number): number {
  let at = bytes.indexOf(LINE_FEED, from);
  while (at >= 0) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === 0x0d && bytes[at + 2] === LINE_FEED) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

function idOf(event: Buffer): string | null {
  let at = event.indexOf(ID_FIELD);
  while (at > 0 && event[at - 1] !== LINE_FEED) {
    at = event.indexOf(ID_FIELD, at + 1);
  }
  if (at < 0) return null;
  const end = event.indexOf(LINE_FEED, at);
  return event.toString("latin1", at + ID_FIELD.length, end).trim();
}
