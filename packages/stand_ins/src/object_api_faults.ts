/** Faults of the stand-in object API, switched on with `POST /faults`. */
import type { ServerResponse } from "node:http";
import { reply } from "./http_json.ts";

export interface ObjectApiFaults {
  /** Every call is answered 503 and has no effect. */
  down: boolean;
  /** Wait before each answer, in milliseconds. */
  delayMs: number;
  /** So many of the next writes take effect and lose their reply. */
  loseReplies: number;
  /** So many of the next writes take effect and are answered 503. */
  failAfterEffect: number;
  /** So many of the next answers break off in the middle. */
  halfAnswers: number;
  /** So many of the next answers are not JSON. */
  notJson: number;
  /** So many of the next changes are not told to watchers. */
  skipChanges: number;
  /** So many of the next changes move watchers on but are not told. */
  jumpChanges: number;
  /** Watches tell everything again, the newest first. */
  repeatChanges: boolean;
  /** Calls a second that are let through; others get 429. 0 for no limit. */
  callsPerSecond: number;
}

export function createFaults(): ObjectApiFaults {
  return {
    down: false,
    delayMs: 0,
    loseReplies: 0,
    failAfterEffect: 0,
    halfAnswers: 0,
    notJson: 0,
    skipChanges: 0,
    jumpChanges: 0,
    repeatChanges: false,
    callsPerSecond: 0,
  };
}

type CountedFault =
  | "loseReplies"
  | "failAfterEffect"
  | "halfAnswers"
  | "notJson"
  | "skipChanges"
  | "jumpChanges";

/** Uses up one of a counted fault; returns whether there was one. */
export function takeFault(faults: ObjectApiFaults, name: CountedFault) {
  if (faults[name] <= 0) return false;
  faults[name] -= 1;
  return true;
}

/** Counts the calls of the second that runs, against the limit. */
export function createRateLimit(faults: ObjectApiFaults) {
  let second = 0;
  let calls = 0;
  return {
    admits(): boolean {
      const now = Math.floor(performance.now() / 1_000);
      if (now !== second) calls = 0;
      second = now;
      calls += 1;
      return faults.callsPerSecond === 0 || calls <= faults.callsPerSecond;
    },
  };
}

/** Answers, unless a fault spoils the answer. */
export function replyOrSpoil(
  faults: ObjectApiFaults,
  response: ServerResponse,
  answer: { readonly status: number; readonly body: unknown },
): void {
  const { status, body } = answer;
  if (takeFault(faults, "notJson")) {
    response.writeHead(status, { "content-type": "text/html" });
    response.end("<html>gateway</html>");
    return;
  }
  if (takeFault(faults, "halfAnswers")) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-length": Buffer.byteLength(text) });
    response.write(text.slice(0, text.length / 2), () => response.destroy());
    return;
  }
  reply(response, status, body);
}
