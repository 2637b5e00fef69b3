/** A caller of the deployment, with the checks of its answers. */
import {
  type AnswerProvenance,
  answerProvenanceSchema,
  failureBodySchema,
  type Outcome,
} from "@rosemarypin/schemas";
import { EventSourceParserStream } from "eventsource-parser/stream";
import { request } from "undici";

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
    };

export interface StreamRequest {
  readonly baseUrl: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly onToken?: (index: number, text: string) => void;
}

/** Asks for a completion as a stream and reads it to its end. */
export async function streamAnswer(
  options: StreamRequest,
): Promise<StreamedAnswer> {
  const tokens: string[] = [];
  try {
    const response = await request(`${options.baseUrl}/v1/completions`, {
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
    if (response.statusCode !== 200) {
      const body = await response.body.json();
      return failure(body, { tokens, status: response.statusCode });
    }
    return await readStream(response.body, { ...options, tokens });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: "broken", tokens, reason };
  }
}

async function readStream(
  body: AsyncIterable<Buffer>,
  options: StreamRequest & { readonly tokens: string[] },
): Promise<StreamedAnswer> {
  const { tokens } = options;
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
    options.onToken?.(tokens.length, text);
    tokens.push(text);
  }
  return provenance
    ? { kind: "whole", tokens, provenance }
    : { kind: "broken", tokens, reason: "the stream ended early" };
}

function failure(
  body: unknown,
  options: { readonly tokens: readonly string[]; readonly status: number },
): StreamedAnswer {
  const { error } = failureBodySchema.parse(body);
  const { outcome, code, retryAfterSeconds } = error;
  return { kind: "failed", ...options, outcome, code, retryAfterSeconds };
}
