/** One line of key=value pairs for each event, through `debug`. */
import { format } from "node:util";
import debug from "debug";
import type { EventField, EventName } from "./event_catalogue.ts";
import { createLineWriter, type LineWriter } from "./line_writer.ts";

/** A value that a log line can carry. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one event; those without a value are left out of the line. */
export type LogFields<Name extends EventName> = {
  readonly [Field in EventField<Name>]?: LogValue;
};

/** Writes one event; which there are, and their fields, the catalogue says. */
export type WriteEvent = <Name extends EventName>(
  event: Name,
  fields?: LogFields<Name>,
) => void;

/** Writes events of one part of the program. */
export interface Logger {
  /** Something worth keeping in normal running. */
  readonly info: WriteEvent;
  /** Something an operator should look at. */
  readonly warn: WriteEvent;
  /** Detail for tracing; off unless `DEBUG` asks for it. */
  readonly detail: WriteEvent;
}

const NAMESPACE = "rosemarypin";

debug.formatArgs = function formatArgs(args) {
  args[0] = `time=${new Date().toISOString()} scope=${this.namespace} ${args[0]}`;
};

/**
 * Creates the logger of one scope, such as `release`. The level is part of
 * the namespace, so `DEBUG=rosemarypin:*:detail` turns on all detail.
 */
export function createLogger(scope: string): Logger {
  const info = debug(`${NAMESPACE}:${scope}:info`);
  const warn = debug(`${NAMESPACE}:${scope}:warn`);
  const detail = debug(`${NAMESPACE}:${scope}:detail`);
  return {
    info: (event, fields) => info("%s", formatEvent(event, fields)),
    warn: (event, fields) => warn("%s", formatEvent(event, fields)),
    detail: (event, fields) => detail("%s", formatEvent(event, fields)),
  };
}

/** Turns on info and warnings, unless `DEBUG` already chose. */
export function enableDefaultLogs(): void {
  if (process.env.DEBUG) return;
  debug.enable(`${NAMESPACE}:*:info,${NAMESPACE}:*:warn`);
}

/** Sends all lines to standard output, where they can hold nothing up. */
export function writeLogsToOutput(): LineWriter {
  const writer = createLineWriter();
  debug.log = (...args: unknown[]) => {
    const text = `${format(...args)}\n`;
    writer.line(text, { isWarning: text.includes(":warn event=") });
  };
  return writer;
}

function formatEvent(
  event: string,
  fields: Readonly<Record<string, LogValue>> = {},
): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  return [`event=${event}`, ...pairs].join(" ");
}

/** Quotes what would break the line into other pairs. */
function formatValue(value: LogValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
