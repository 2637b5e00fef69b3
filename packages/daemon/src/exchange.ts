/** One request of a caller, with what every endpoint needs of it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { SharedLimits } from "@rosemarypin/limits";
import type { NoteKeeper } from "@rosemarypin/release";
import type { Organisation, Settings } from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { limitReached } from "./caller_failures.ts";
import { sendFailure } from "./http_basics.ts";
import { type BodyMemory, readBody } from "./request_body.ts";

const log = createLogger("callers");

const CALLER_ID = /^[\x21-\x7e]{1,128}$/;
/** Label of what no settings and no note name. */
const UNKNOWN_NAME = "unknown";

/** A request whose organisation is known. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly organisation: Organisation;
  /** Set once work was handed on, which from then on may have run. */
  handedOn: boolean;
}

/** The caller's own id of its request, if it can stand in a log line. */
export function callerRequestId(request: IncomingMessage): string | undefined {
  const id = request.headers["x-request-id"];
  return typeof id === "string" && CALLER_ID.test(id) ? id : undefined;
}

/** The body, or `null` once the refusal of it was sent. */
export async function takeBody(
  exchange: Exchange,
  options: { readonly limit: number; readonly memory: BodyMemory },
): Promise<Buffer | null> {
  const { response, requestId, organisation } = exchange;
  const sender = organisation.name;
  const result = await readBody(exchange, { ...options, sender });
  if (result.kind === "body") return result.body;
  if (result.kind === "refused") {
    sendFailure(response, result.failure, { requestId });
  }
  return null;
}

/** Whether the organisation is beyond its limits; the refusal is sent then. */
export function refuseByLimit(
  { response, requestId, organisation }: Exchange,
  options: {
    readonly limits: SharedLimits;
    readonly tokens: number;
    readonly metrics: Metrics;
  },
): boolean {
  const { limits, tokens, metrics } = options;
  const admission = limits.admit(organisation.name, { tokens });
  if (admission.kind === "admitted") return false;
  metrics.limited.inc();
  log.info("limited", { request: requestId, organisation: organisation.name });
  const failure = limitReached(admission.retryAfterSeconds);
  sendFailure(response, failure, { requestId });
  return true;
}

/**
 * A label for each name that callers think of would fill the memory with
 * metrics, one wrong name at a time.
 */
export function modelLabel(
  model: string,
  keeper: Pick<NoteKeeper, "current">,
): string {
  const models = keeper.current()?.catalogue.models ?? {};
  return Object.hasOwn(models, model) ? model : UNKNOWN_NAME;
}

/** The same for services, which the settings name. */
export function serviceLabel(service: string, settings: Settings): string {
  const isKnown = settings.services.some(({ name }) => name === service);
  return isKnown ? service : UNKNOWN_NAME;
}
