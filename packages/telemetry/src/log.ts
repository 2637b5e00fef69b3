/** Logs each event as one line of key=value pairs through `debug`. */
import { format } from "node:util";
import debug from "debug";
import type { EventField, EventName } from "./event_catalogue.ts";
import { createLineWriter, type LineWriter } from "./line_writer.ts";

/** Value of a field; a field that is `undefined` is omitted. */
export type LogValue = string | number | boolean | undefined;

/** Fields of an event; all are optional. */
export type LogFields<Name extends EventName> = {
  readonly [Field in EventField<Name>]?: LogValue;
};

/** Logs one event of the catalogue. */
export type WriteEvent = <Name extends EventName>(
  event: Name,
  fields?: LogFields<Name>,
) => void;

/** Logs the events of one scope. */
export interface Logger {
  /** Logs an event of normal operation. */
  readonly info: WriteEvent;
  /** Logs an event that may need an operator's attention. */
  readonly warn: WriteEvent;
  /** Logs an event for debugging; off unless `DEBUG` enables it. */
  readonly detail: WriteEvent;
}

const NAMESPACE = "rosemarypin";

debug.formatArgs = function formatArgs(args) {
  args[0] = `time=${new Date().toISOString()} scope=${this.namespace} ${args[0]}`;
};

/**
 * Creates the logger of a scope such as `release`. The level is part of the
 * namespace, so `DEBUG=rosemarypin:*:detail` enables this level in all scopes.
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

/** Enables info and warnings in all scopes, unless `DEBUG` is set. */
export function enableDefaultLogs(): void {
  if (process.env.DEBUG) return;
  debug.enable(`${NAMESPACE}:*:info,${NAMESPACE}:*:warn`);
}

/** Writes all log lines to standard output without blocking the process. */
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

/** Quotes a value that would otherwise be read as several pairs or lines. */
function formatValue(value: LogValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
