/** Calls of the administration API. */
import { failureBodySchema } from "@rosemarypin/schemas";
import { request } from "undici";
import { z } from "zod";
import { exitCodes } from "./exit_codes.ts";

const CALL_TIMEOUT_MS = 10_000;

/** A failure that ends the command with a message and an exit code. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}

/** Calls one instance, or the next one if it cannot be reached. */
export interface AdminClient {
  get<S extends z.ZodType>(path: string, schema: S): Promise<z.infer<S>>;
  post<S extends z.ZodType>(
    path: string,
    options: { readonly body: unknown; readonly schema: S },
  ): Promise<z.infer<S>>;
}

/** Creates a client of the instances at `urls`. */
export function createAdminClient(options: {
  readonly urls: readonly string[];
  readonly key: string;
}): AdminClient {
  async function call<S extends z.ZodType>(
    path: string,
    init: {
      readonly method: "GET" | "POST";
      readonly body?: unknown;
      readonly schema: S;
    },
  ): Promise<z.infer<S>> {
    const reasons: string[] = [];
    for (const url of options.urls) {
      const answer = await tryOne(new URL(path, url), init);
      if (answer.kind === "answer") return answer.value;
      reasons.push(`${url}: ${answer.reason}`);
      if (answer.kind === "sent") break;
    }
    throw new CommandError(
      `no instance answered:\n  ${reasons.join("\n  ")}\n` +
        "check --admin (or ROSEMARYPIN_ADMIN), or try again",
      exitCodes.unavailable,
    );
  }

  async function tryOne<S extends z.ZodType>(
    url: URL,
    init: {
      readonly method: "GET" | "POST";
      readonly body?: unknown;
      readonly schema: S;
    },
  ): Promise<
    | { readonly kind: "answer"; readonly value: z.infer<S> }
    | { readonly kind: "unreached" | "sent"; readonly reason: string }
  > {
    let response: Awaited<ReturnType<typeof request>>;
    let body: unknown;
    try {
      response = await request(url, {
        method: init.method,
        headers: {
          authorization: `Bearer ${options.key}`,
          "content-type": "application/json",
        },
        body: init.body === undefined ? null : JSON.stringify(init.body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      body = await response.body.json();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return { kind: "unreached", reason };
    }
    if (response.statusCode >= 400) throw toCommandError(body);
    return { kind: "answer", value: init.schema.parse(body) };
  }

  return {
    get: (path, schema) => call(path, { method: "GET", schema }),
    post: (path, { body, schema }) =>
      call(path, { method: "POST", body, schema }),
  };
}

function toCommandError(body: unknown): CommandError {
  const parsed = failureBodySchema.safeParse(body);
  if (!parsed.success) {
    return new CommandError("the answer has no known form", exitCodes.failed);
  }
  const { outcome, code, message } = parsed.data.error;
  return new CommandError(message, exitCodeOf(outcome, code));
}

function exitCodeOf(outcome: string, code: string): number {
  if (code === "conflict") return exitCodes.conflict;
  if (code === "bad_note") return exitCodes.usage;
  if (outcome === "not_run") return exitCodes.unavailable;
  if (outcome === "outcome_unknown") return exitCodes.unknown;
  return exitCodes.failed;
}

export { z };
