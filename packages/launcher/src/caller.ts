/** A caller of the deployment, with the checks of its answers. */
import {
  type AnswerProvenance,
  answerProvenanceSchema,
  failureBodySchema,
  type Outcome,
} from "@rosemarypin/schemas";
import { EventSourceParserStream } from "eventsource-parser/stream";
import { type Dispatcher, request } from "undici";

/** An answer as a caller saw it. */
export type StreamedAnswer =
  | {
      readonly kind: "whole";
      readonly tokens: readonly string[];
      readonly provenance: AnswerProvenance;
    }
  | {
      readonly kind: "failed";
      readonly tokens: readonly string[];
      readonly outcome: Outcome;
      readonly code: string;
      readonly status: number;
      readonly retryAfterSeconds: number | undefined;
    }
  /** The connection broke: no final answer came. */
  | {
      readonly kind: "broken";
      readonly tokens: readonly string[];
      readonly reason: string;
      /** How to take the answer up again; `null` before its first event. */
      readonly resumeFrom: ResumePoint | null;
    };

/** What names the rest of an answer to any instance. */
export interface ResumePoint {
  readonly requestId: string;
  readonly lastEventId: string;
}

export interface StreamRequest {
  readonly baseUrl: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly onToken?: ((index: number, text: string) => void) | undefined;
}

/** What has come of an answer so far. */
interface Progress {
  readonly tokens: string[];
  requestId: string;
  lastEventId: string;
}

type OnToken = StreamRequest["onToken"];

/** Asks for a completion as a stream and reads it to its end. */
export function streamAnswer(options: StreamRequest): Promise<StreamedAnswer> {
  const progress = { tokens: [], requestId: "", lastEventId: "" };
  const answer = request(`${options.baseUrl}/v1/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${options.key}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: options.model,
      prompt: options.prompt,
      max_tokens: options.maxTokens,
      stream: true,
    }),
  });
  return readAnswer(answer, { progress, onToken: options.onToken });
}

/** Takes a broken answer up again, on any instance, and reads the rest. */
export function resumeStream(
  { requestId, lastEventId }: ResumePoint,
  options: Pick<StreamRequest, "baseUrl" | "key" | "onToken"> & {
    /** Tokens that came before. */
    readonly tokens: readonly string[];
  },
): Promise<StreamedAnswer> {
  const progress = { tokens: [...options.tokens], requestId, lastEventId };
  const answer = request(`${options.baseUrl}/v1/answers/${requestId}`, {
    headers: {
      authorization: `Bearer ${options.key}`,
      "last-event-id": lastEventId,
    },
  });
  return readAnswer(answer, { progress, onToken: options.onToken });
}

async function readAnswer(
  answer: Promise<Dispatcher.ResponseData>,
  options: { readonly progress: Progress; readonly onToken: OnToken },
): Promise<StreamedAnswer> {
  const { progress } = options;
  const { tokens } = progress;
  try {
    const { statusCode: status, headers, body } = await answer;
    if (status !== 200) return failure(await body.json(), { tokens, status });
    progress.requestId = String(headers["x-request-id"] ?? "");
    return await readStream(body, options);
  } catch (error) {
    return broken(progress, error instanceof Error ? error.message : "");
  }
}

function broken(progress: Progress, reason: string): StreamedAnswer {
  const { tokens, requestId, lastEventId } = progress;
  const resumeFrom = lastEventId === "" ? null : { requestId, lastEventId };
  return { kind: "broken", tokens, reason, resumeFrom };
}

async function readStream(
  body: AsyncIterable<Buffer>,
  options: { readonly progress: Progress; readonly onToken: OnToken },
): Promise<StreamedAnswer> {
  const { progress, onToken } = options;
  const { tokens } = progress;
  let provenance: AnswerProvenance | null = null;
  const events = ReadableStream.from(body)
    .pipeThrough(new TextDecoderStream())
    .pipeThrough(new EventSourceParserStream());
  for await (const event of events) {
    if (event.event === "error") {
      return failure(JSON.parse(event.data), { tokens, status: 200 });
    }
    if (event.data === "[DONE]") break;
    const data = JSON.parse(event.data) as {
      choices: { text: string }[];
      rosemarypin?: unknown;
    };
    if (data.rosemarypin !== undefined) {
      provenance = answerProvenanceSchema.parse(data.rosemarypin);
      continue;
    }
    const text = (data.choices[0]?.text ?? "").trim();
    onToken?.(tokens.length, text);
    tokens.push(text);
    progress.lastEventId = event.id ?? progress.lastEventId;
  }
  return provenance
    ? { kind: "whole", tokens, provenance }
    : broken(progress, "the stream ended early");
}

function failure(
  body: unknown,
  options: { readonly tokens: readonly string[]; readonly status: number },
): StreamedAnswer {
  const { error } = failureBodySchema.parse(body);
  const { outcome, code, retryAfterSeconds } = error;
  return { kind: "failed", ...options, outcome, code, retryAfterSeconds };
}
