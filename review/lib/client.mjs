// Stand-in of a client: one request on a connection of its own.
import { request } from "node:http";

let count = 0;

/** A new id, as each client attempt has its own. */
export function newId() {
  count += 1;
  return `${process.pid.toString(16)}${Date.now().toString(16)}${count}`;
}

/**
 * Sends a request and resolves with what came. `ended` is `complete` where the
 * answer's framing says so, `cut` where it broke off, and `none` where the
 * connection ended without an answer.
 */
export function call(instance, options) {
  const id = options.id ?? newId();
  const isPost = !options.path.startsWith("/look/");
  const deadlineMs = options.deadlineMs ?? 20_000;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const sent = request({
      host: "127.0.0.1",
      port: instance.port,
      method: isPost ? "POST" : "GET",
      path: options.path,
      agent: options.agent ?? false,
      headers: {
        Host: "site.example",
        "X-Request-Id": id,
        "X-Deadline": String(deadlineMs),
        "X-Credential": options.key ?? "key-of-tenant-a",
        ...(options.tokens
          ? {
              "X-Model": "model-a",
              "X-Token-Count": `800,${options.tokens}`,
              "X-Prompt-Prefix": "5c1e07a2:40,e4402b7d:760",
            }
          : {}),
        ...options.headers,
      },
    });
    const timer = setTimeout(
      () => sent.destroy(new Error("no answer")),
      deadlineMs + 2_000,
    );
    const finish = (result) => {
      clearTimeout(timer);
      const tookMs = Math.round(performance.now() - sentAt);
      resolve({ id, tookMs, kept: sent.reusedSocket, ...result });
    };
    sent.on("error", (error) =>
      finish({
        status: 0,
        headers: {},
        body: "",
        ended: "none",
        error: error.code ?? error.message,
      }),
    );
    sent.on("response", (response) => {
      options.onBegun?.();
      let body = "";
      let error;
      response.setEncoding("utf8");
      response.on("data", (text) => {
        body += text;
      });
      response.on("error", (reason) => {
        error = reason.code ?? reason.message;
      });
      response.once("close", () =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          body,
          ended: response.complete && !error ? "complete" : "cut",
          error,
        }),
      );
    });
    sent.end(options.body ?? (isPost ? "{}" : undefined));
  });
}

/** Ids of the events in a stream, in order. */
export function eventIds(body) {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}
