/** Calls of the administration API. */
import { failureBodySchema, statusSchema } from "@rosemarypin/schemas";
import { request } from "undici";
import type { z } from "zod";
import { CommandError, usageError } from "./command_error.ts";
import { exitCodes } from "./exit_codes.ts";

const CALL_TIMEOUT_MS = 10_000;

/** Errors that show that no byte of a call was taken. */
const NEVER_CONNECTED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** What one instance answered, or why it did not. */
export type InstanceAnswer<T> =
  | { readonly kind: "answer"; readonly value: T }
  | { readonly kind: "silent"; readonly reason: string };

/** Calls one instance, or the next one if it cannot be reached. */
export interface AdminClient {
  /** Addresses of the instances. */
  readonly urls: readonly string[];
  get<S extends z.ZodType>(path: string, schema: S): Promise<z.infer<S>>;
  post<S extends z.ZodType>(
    path: string,
    options: { readonly body: unknown; readonly schema: S },
  ): Promise<z.infer<S>>;
  /** Asks every instance; one that is silent does not fail the call. */
  getAll<S extends z.ZodType>(
    path: string,
    schema: S,
  ): Promise<ReadonlyMap<string, InstanceAnswer<z.infer<S>>>>;
}

interface CallOptions<S extends z.ZodType> {
  readonly method: "GET" | "POST";
  readonly body?: unknown;
  readonly schema: S;
}

type Try<T> =
  | { readonly kind: "answer"; readonly value: T }
  | {
      readonly kind: "failed";
      readonly reason: string;
      /** Whether the instance may have done what it was asked. */
      readonly mayHaveRun: boolean;
    };

/** Creates a client of the instances at `urls`. */
export function createAdminClient(options: {
  readonly urls: readonly string[];
  readonly key: string;
}): AdminClient {
  async function call<S extends z.ZodType>(
    path: string,
    init: CallOptions<S>,
  ): Promise<z.infer<S>> {
    checkOptions();
    const reasons: string[] = [];
    let mayHaveRun = false;
    for (const url of options.urls) {
      const result = await tryOne(new URL(path, url), init);
      if (result.kind === "answer") return result.value;
      mayHaveRun ||= result.mayHaveRun;
      reasons.push(`${url}: ${result.reason}`);
    }
    const isUnknown = mayHaveRun && init.method === "POST";
    throw noAnswer(reasons, isUnknown);
  }

  function checkOptions(): void {
    if (options.urls.length === 0) {
      throw usageError(
        "no instance is named; use --admin URL[,URL] or ROSEMARYPIN_ADMIN",
      );
    }
    const wrong = options.urls.find((url) => !URL.canParse(url));
    if (wrong !== undefined) {
      throw usageError(`'${wrong}' is no URL; write http://HOST:PORT`);
    }
    if (options.key !== "") return;
    throw usageError(
      "there is no administrators' key; put it in ROSEMARYPIN_ADMIN_KEY",
    );
  }

  async function tryOne<S extends z.ZodType>(
    url: URL,
    init: CallOptions<S>,
  ): Promise<Try<z.infer<S>>> {
    let status: number;
    let body: unknown;
    try {
      const response = await request(url, {
        method: init.method,
        headers: {
          authorization: `Bearer ${options.key}`,
          "content-type": "application/json",
        },
        body: init.body === undefined ? null : JSON.stringify(init.body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      status = response.statusCode;
      body = await response.body.json();
    } catch (error) {
      const code = (error as { readonly code?: string }).code ?? "";
      const message = error instanceof Error ? error.message : String(error);
      const reason = message === "" ? code : message;
      const mayHaveRun = !NEVER_CONNECTED.has(code);
      return { kind: "failed", reason, mayHaveRun };
    }
    if (status >= 400) throw toCommandError(body);
    const parsed = init.schema.safeParse(body);
    if (parsed.success) return { kind: "answer", value: parsed.data };
    throw new CommandError(
      "the answer has no known form; use a command line of the daemon's release",
      exitCodes.failed,
    );
  }

  return {
    urls: options.urls,
    get: (path, schema) => call(path, { method: "GET", schema }),
    post: (path, { body, schema }) =>
      call(path, { method: "POST", body, schema }),
    async getAll(path, schema) {
      checkOptions();
      const entries = options.urls.map(
        async (url) => [url, await askOne(new URL(path, url), schema)] as const,
      );
      return new Map(await Promise.all(entries));
    },
  };

  async function askOne<S extends z.ZodType>(
    url: URL,
    schema: S,
  ): Promise<InstanceAnswer<z.infer<S>>> {
    try {
      const result = await tryOne(url, { method: "GET", schema });
      if (result.kind === "answer") return result;
      return { kind: "silent", reason: result.reason };
    } catch (error) {
      const isUsage =
        error instanceof CommandError && error.exitCode === exitCodes.usage;
      if (isUsage || !(error instanceof Error)) throw error;
      return { kind: "silent", reason: error.message };
    }
  }
}

/** The number of the note in use; 0 for none. */
export async function readCurrentNumber(admin: AdminClient): Promise<number> {
  const { note } = await admin.get("/v1/status", statusSchema);
  return note;
}

function noAnswer(reasons: readonly string[], isUnknown: boolean) {
  const lines = reasons.map((reason) => `\n  ${reason}`).join("");
  return isUnknown
    ? new CommandError(
        `no instance answered, but one may have done it:${lines}\n` +
          "repeat it with the same --publish-id, or look at 'note history'",
        exitCodes.unknown,
      )
    : new CommandError(
        `no instance answered:${lines}\n` +
          "check --admin (or ROSEMARYPIN_ADMIN), or try again",
        exitCodes.unavailable,
      );
}

function toCommandError(body: unknown): CommandError {
  const parsed = failureBodySchema.safeParse(body);
  if (!parsed.success) {
    return new CommandError(
      "the answer has no known form; is --admin the administration address?",
      exitCodes.failed,
    );
  }
  const { outcome, code, message } = parsed.data.error;
  if (code === "wrong_key") {
    return usageError(
      "the administrators' key was refused; check ROSEMARYPIN_ADMIN_KEY",
    );
  }
  return new CommandError(message, exitCodeOf(outcome, code));
}

function exitCodeOf(outcome: string, code: string): number {
  if (code === "conflict") return exitCodes.conflict;
  if (code === "bad_note") return exitCodes.usage;
  if (outcome === "not_run") return exitCodes.unavailable;
  if (outcome === "outcome_unknown") return exitCodes.unknown;
  return exitCodes.failed;
}
