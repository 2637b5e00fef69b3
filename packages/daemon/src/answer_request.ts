/** Reads a completion request: its body, priority and deadline. */
import type { IncomingMessage } from "node:http";
import { badCall, type CallFailure } from "@rosemarypin/calls";
import {
  type AnswerRequest,
  chatRequestSchema,
  completionRequestSchema,
  MAX_MESSAGE_COUNT,
  type Organisation,
  type Priority,
  prioritySchema,
  type WorkKind,
} from "@rosemarypin/schemas";
import { z } from "zod";
import type { AnswerStyle } from "./answer_stream.ts";

/** Longest text about what is wrong with a body. */
const LARGEST_EXPLANATION = 1_000;
const JSON_TYPE = /^application\/json\s*(;\s*charset="?utf-8"?\s*)?$/i;

const decoder = new TextDecoder("utf-8", { fatal: true });

export type ParsedAnswer =
  | {
      readonly kind: "valid";
      readonly stream: boolean;
      readonly value: Pick<
        AnswerRequest,
        "model" | "adapter" | "promptTokens" | "maxTokens"
      >;
    }
  | { readonly kind: "invalid"; readonly failure: CallFailure };

export type ParsedPriority =
  | { readonly kind: "valid"; readonly priority: Priority }
  | { readonly kind: "invalid"; readonly failure: CallFailure };

/** Refuses a body that says it is something else than JSON. */
export function checkJsonType(request: IncomingMessage): CallFailure | null {
  const type = request.headers["content-type"];
  if (type === undefined || JSON_TYPE.test(type)) return null;
  return badCall("unsupported_type", {
    message: "send the body as 'content-type: application/json', in UTF-8",
    status: 415,
  });
}

/** Checks a body against the schema of its endpoint. */
export function parseAnswer(body: Buffer, style: AnswerStyle): ParsedAnswer {
  const json = parseJson(body);
  if (json === undefined) return invalid("the body is not JSON in UTF-8");
  if (hasTooManyMessages(json)) {
    return invalid(`messages: expected at most ${MAX_MESSAGE_COUNT}`);
  }
  if (style === "chat") {
    const parsed = chatRequestSchema.safeParse(json);
    if (!parsed.success) return invalid(explain(parsed.error));
    const { messages } = parsed.data;
    const prompt = messages.map(({ role, content }) => `${role}: ${content}`);
    return valid(parsed.data, prompt.join("\n"));
  }
  const parsed = completionRequestSchema.safeParse(json);
  if (!parsed.success) return invalid(explain(parsed.error));
  return valid(parsed.data, parsed.data.prompt);
}

/**
 * The priority of a request: that of its kind of work if `x-work` names one,
 * else its organisation's. `x-priority` may ask for less urgency, not more.
 */
export function parsePriority(
  request: IncomingMessage,
  options: {
    readonly organisation: Organisation;
    readonly work: readonly WorkKind[];
  },
): ParsedPriority {
  const { organisation } = options;
  const name = request.headers["x-work"];
  const kind = options.work.find((known) => known.name === name);
  const isOpen = kind?.organisations?.includes(organisation.name) ?? true;
  if (name !== undefined && !(kind && isOpen)) {
    return { kind: "invalid", failure: unknownWork() };
  }
  const given = kind?.priority ?? organisation.priority;
  const asked = prioritySchema.safeParse(request.headers["x-priority"]);
  const priority = asked.success ? leastUrgent(given, asked.data) : given;
  return { kind: "valid", priority };
}

/** How long the caller waits, in milliseconds. */
export function parseDeadlineMs(
  request: IncomingMessage,
  largestMs: number,
): number {
  const asked = Number(request.headers["x-deadline-ms"]);
  const isUsable = Number.isFinite(asked) && asked > 0;
  return isUsable ? Math.min(asked, largestMs) : largestMs;
}

function valid(
  data: {
    readonly model: string;
    readonly adapter?: string | undefined;
    readonly stream: boolean;
    readonly max_tokens: number;
  },
  prompt: string,
): ParsedAnswer {
  const promptTokens = prompt.split(/\s+/).filter((word) => word !== "");
  if (promptTokens.length === 0) return invalid("the prompt has no words");
  const { model, adapter, stream, max_tokens: maxTokens } = data;
  const value = { model, adapter, promptTokens, maxTokens };
  return { kind: "valid", stream, value };
}

function invalid(message: string): ParsedAnswer {
  const failure = badCall("bad_request", { message, status: 400 });
  return { kind: "invalid", failure };
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(decoder.decode(body));
  } catch {
    return undefined;
  }
}

/**
 * A body of the allowed size can hold a hundred thousand wrong messages. The
 * schema would describe each, and every other caller would wait meanwhile; so
 * their number is looked at first.
 */
function hasTooManyMessages(json: unknown): boolean {
  const { messages } = (json ?? {}) as { readonly messages?: unknown };
  return Array.isArray(messages) && messages.length > MAX_MESSAGE_COUNT;
}

function explain(error: z.ZodError): string {
  return z.prettifyError(error).slice(0, LARGEST_EXPLANATION);
}

function leastUrgent(one: Priority, other: Priority): Priority {
  const order = prioritySchema.options;
  return order.indexOf(one) > order.indexOf(other) ? one : other;
}

function unknownWork(): CallFailure {
  return badCall("unknown_work", {
    message:
      "x-work names no kind of work that your organisation may use; " +
      "leave it out, or ask the operators for the names",
    status: 400,
  });
}
