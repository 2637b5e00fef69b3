/** Splits a byte stream of server-sent events into complete events. */

const LINE_FEED = 0x0a;
/** IDs are sent back in a header, so they must not hold what headers can't. */
const ID_PATTERN = /^[\x20-\x7e\x80-\xff]{0,256}$/;
const ID_FIELD = Buffer.from("id:");

/** The unmodified bytes of one event, including its final blank line. */
export interface ServerSentEvent {
  readonly bytes: Buffer;
  /** Value of the event's `id` field; `null` if it has none. */
  readonly id: string | null;
}

export interface EventSplitter {
  /** Appends bytes and returns the events that they complete. */
  push(chunk: Buffer): ServerSentEvent[];
  /** Bytes after the last complete event. */
  rest(): Buffer;
}

/**
 * Creates a splitter with an empty buffer. A server can fail in the middle of
 * an event. Only complete events are forwarded, so that another server can
 * resume the stream after the last one.
 */
export function createEventSplitter(): EventSplitter {
  let pendingBytes: Buffer = Buffer.alloc(0);

  return {
    push(chunk) {
      pendingBytes =
        pendingBytes.length > 0 ? Buffer.concat([pendingBytes, chunk]) : chunk;
      const events: ServerSentEvent[] = [];
      let eventStart = 0;
      for (;;) {
        const end = findEventEnd(pendingBytes, eventStart);
        if (end < 0) break;
        const bytes = pendingBytes.subarray(eventStart, end);
        events.push({ bytes, id: parseEventId(bytes) });
        eventStart = end;
      }
      if (eventStart > 0) pendingBytes = pendingBytes.subarray(eventStart);
      return events;
    },
    rest: () => pendingBytes,
  };
}

/** Offset after the blank line that ends the event, or -1 without one. */
function findEventEnd(bytes: Buffer, from: number): number {
  let lineFeedIndex = bytes.indexOf(LINE_FEED, from);
  while (lineFeedIndex >= 0) {
    const nextByte = bytes[lineFeedIndex + 1];
    if (nextByte === LINE_FEED) return lineFeedIndex + 2;
    if (nextByte === 0x0d && bytes[lineFeedIndex + 2] === LINE_FEED)
      return lineFeedIndex + 3;
    lineFeedIndex = bytes.indexOf(LINE_FEED, lineFeedIndex + 1);
  }
  return -1;
}

function parseEventId(event: Buffer): string | null {
  let fieldIndex = event.indexOf(ID_FIELD);
  while (fieldIndex > 0 && event[fieldIndex - 1] !== LINE_FEED) {
    fieldIndex = event.indexOf(ID_FIELD, fieldIndex + 1);
  }
  if (fieldIndex < 0) return null;
  const end = event.indexOf(LINE_FEED, fieldIndex);
  const id = event.toString("latin1", fieldIndex + ID_FIELD.length, end).trim();
  return ID_PATTERN.test(id) ? id : null;
}
