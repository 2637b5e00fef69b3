/** Splits a byte stream of server-sent events into complete events. */
import { endlessAnswerError } from "../backends/mod.ts";
import { createGrowingBuffer } from "../growing_buffer.ts";

const LINE_FEED = 0x0a;
/** IDs are sent back in a header, so they must not hold what headers can't. */
const ID_PATTERN = /^[\x20-\x7e\x80-\xff]{0,256}$/;
/** Longest end of an event: a line feed and an empty line. */
const EVENT_END_BYTES = 3;
const ID_FIELD = Buffer.from("id:");

/** The unmodified bytes of one event, including its final blank line. */
export interface ServerSentEvent {
  readonly bytes: Buffer;
  /** Value of the event's `id` field; `null` if it has none. */
  readonly id: string | null;
}

export interface EventSplitterOptions {
  readonly maxEventBytes?: number;
}

export interface EventSplitter {
  /**
   * Appends bytes and returns the events that they complete; throws when the
   * event behind them is too long.
   */
  push(chunk: Buffer): ServerSentEvent[];
  /** Bytes after the last complete event. */
  rest(): Buffer;
}

/**
 * Creates a splitter with an empty buffer. A server can fail in the middle of
 * an event. Only complete events are forwarded, so that another server can
 * resume the stream after the last one.
 */
export function createEventSplitter({
  maxEventBytes = Number.POSITIVE_INFINITY,
}: EventSplitterOptions = {}): EventSplitter {
  const pending = createGrowingBuffer();
  /** Pending bytes that hold no end of an event. */
  let scannedBytes = 0;

  return {
    push(chunk) {
      pending.append(chunk);
      const bytes = pending.bytes();
      const events: ServerSentEvent[] = [];
      let eventStart = 0;
      for (;;) {
        const end = findEventEnd(bytes, Math.max(eventStart, scannedBytes));
        if (end < 0) break;
        const event = bytes.subarray(eventStart, end);
        events.push({ bytes: event, id: parseEventId(event) });
        eventStart = end;
        scannedBytes = end;
      }
      pending.dropFirst(eventStart);
      const restBytes = bytes.length - eventStart;
      scannedBytes = Math.max(0, restBytes - EVENT_END_BYTES + 1);
      if (restBytes > maxEventBytes) throw endlessAnswerError("event");
      return events;
    },
    rest: pending.bytes,
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
