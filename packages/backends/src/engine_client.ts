/** HTTP client for the interface of engines. */
import {
  type Address,
  type AttemptRequest,
  attemptRefusalSchema,
  type EngineEvent,
  type EngineOrder,
  type EngineState,
  engineEventSchema,
  engineStateSchema,
  formatAddress,
  type ParkedAnswer,
  parkedAnswerSchema,
} from "@rosemarypin/schemas";
import { Agent, request } from "undici";
import { marksItsEnd } from "./answer_end.ts";
import { createGuardedConnector } from "./reset_guard.ts";
import {
  classifyTransportError,
  type TransportFailure,
} from "./transport_failure.ts";

const CALL_TIMEOUT_MS = 1_000;
/** Status of an engine that did not start the attempt. */
const REFUSED_STATUS = 409;

/** Result of the start of an attempt. */
export type AttemptStart =
  | { readonly kind: "started"; readonly events: AsyncIterable<EngineEvent> }
  /** The engine reported that it did not start the attempt. */
  | {
      readonly kind: "refused";
      readonly reason: string;
      /** Whether a later attempt, of any instance, runs the answer. */
      readonly takenOver?: boolean;
    }
  | TransportFailure;

/** Result of an order. */
export type OrderResult =
  | { readonly kind: "ok"; readonly state: EngineState }
  /** The engine has seen a higher fencing number. */
  | { readonly kind: "fenced"; readonly detail: string }
  | TransportFailure;

/** The calls to an engine. */
export interface EngineClient {
  start(
    address: Address,
    attempt: AttemptRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<AttemptStart>;
  cancel(address: Address, requestId: string): Promise<void>;
  order(address: Address, order: EngineOrder): Promise<OrderResult>;
  /** Resolves to `null` when the engine gives no valid response in time. */
  readState(
    address: Address,
    options?: { readonly timeoutMs?: number },
  ): Promise<EngineState | null>;
}

/** Result of a lookup of an answer that another instance ran. */
export type ParkedAnswerResult =
  | { readonly kind: "found"; readonly answer: ParkedAnswer }
  /** The engine responded, but does not have the answer. */
  | { readonly kind: "unknown" }
  | { readonly kind: "unreachable" };

/** Reads answers that another instance started. */
export interface ParkedAnswers {
  readAnswer(address: Address, requestId: string): Promise<ParkedAnswerResult>;
}

/** Creates a client with one connection pool for each engine. */
export function createEngineClient(): EngineClient & ParkedAnswers {
  const agent = new Agent({
    connect: createGuardedConnector({ timeout: CALL_TIMEOUT_MS }),
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  async function post(
    address: Address,
    path: string,
    options: { readonly body: unknown; readonly signal: AbortSignal },
  ) {
    return request(`http://${formatAddress(address)}${path}`, {
      dispatcher: agent,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(options.body),
      signal: options.signal,
    });
  }

  return {
    async start(address, attempt, { signal }) {
      try {
        const response = await post(address, "/attempts", {
          body: attempt,
          signal,
        });
        if (response.statusCode === REFUSED_STATUS) {
          const text = await response.body.text();
          const { statusCode: status, headers } = response;
          const isWhole = marksItsEnd("POST", { status, headers });
          return readRefusal(text, { isWhole });
        }
        if (response.statusCode !== 200) {
          // An engine that failed during the start may have run part of it.
          // Only an explicit refusal proves `not_run`.
          const detail = `status ${response.statusCode}`;
          await response.body.dump();
          return { kind: "broken", detail };
        }
        return { kind: "started", events: readEvents(response.body) };
      } catch (error) {
        return classifyTransportError(error);
      }
    },
    async cancel(address, requestId) {
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      const path = `/attempts/${encodeURIComponent(requestId)}/cancel`;
      try {
        const response = await post(address, path, { body: {}, signal });
        await response.body.dump();
      } catch {
        // The engine is unreachable; the cancellation is best effort.
      }
    },
    async order(address, order) {
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      try {
        const response = await post(address, "/order", { body: order, signal });
        if (response.statusCode === 409) {
          return { kind: "fenced", detail: await response.body.text() };
        }
        const state = engineStateSchema.parse(await response.body.json());
        return { kind: "ok", state };
      } catch (error) {
        return classifyTransportError(error);
      }
    },
    async readAnswer(address, requestId) {
      const path = `/attempts/${encodeURIComponent(requestId)}`;
      try {
        const response = await request(
          `http://${formatAddress(address)}${path}`,
          { dispatcher: agent, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) },
        );
        const body = await response.body.text();
        if (response.statusCode !== 200) return { kind: "unknown" };
        const answer = parkedAnswerSchema.parse(JSON.parse(body));
        return { kind: "found", answer };
      } catch {
        return { kind: "unreachable" };
      }
    },
    async readState(address, { timeoutMs = CALL_TIMEOUT_MS } = {}) {
      try {
        const response = await request(
          `http://${formatAddress(address)}/state`,
          { dispatcher: agent, signal: AbortSignal.timeout(timeoutMs) },
        );
        return engineStateSchema.parse(await response.body.json());
      } catch {
        return null;
      }
    },
  };
}

function readRefusal(
  text: string,
  { isWhole }: { readonly isWhole: boolean },
): AttemptStart {
  const parsed = attemptRefusalSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    // The part that is missing may say that a later attempt runs the answer.
    if (!isWhole) return { kind: "broken", detail: "part of a refusal" };
    return { kind: "refused", reason: text };
  }
  const { error: reason, takenOver } = parsed.data;
  return { kind: "refused", reason, takenOver };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Parses the engine's stream of JSON lines. Throws when the stream breaks or a
 * line is not a valid event.
 */
async function* readEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<EngineEvent> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true });
    const lines = rest.split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
      yield engineEventSchema.parse(JSON.parse(line));
    }
  }
}
