/** Checks what callers got against what backend servers saw. */
import type { CallerAnswer } from "@rosemarypin/platform/stand_in";

/** What kind of request it was. */
export type SoakKind = "stream" | "order" | "lookup";

/** A request, with its answer. */
export interface SoakCall {
  readonly id: string;
  readonly kind: SoakKind;
  readonly events: number;
  readonly answer: CallerAnswer;
  /** Whether a planned stop of its instance, and no fault, fell into it. */
  readonly onlyPlanned: boolean;
}

/** Statuses that promise that a request did not and will not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** Gives a line for each broken promise. */
export function judgeCalls(
  calls: readonly SoakCall[],
  runsOf: (id: string) => number,
): string[] {
  return calls.flatMap((call) => {
    const broken = judgeCall(call, runsOf(call.id));
    return broken ? [`${broken}: ${describe(call, runsOf(call.id))}`] : [];
  });
}

function judgeCall(call: SoakCall, runs: number): string | null {
  const { answer, kind } = call;
  if (kind === "order" && runs > 1) return "an order ran more than once";
  if (kind === "order" && NOT_RUN.has(answer.status) && runs > 0) {
    return "an order was refused as not run, and ran";
  }
  if (answer.status === 200 && kind !== "stream") {
    if (answer.whole && !/^done by p-\d+$/.test(answer.body)) {
      return "an answer is not the server's";
    }
  }
  if (answer.status === 200 && kind === "stream") return judgeStream(call);
  // Where nothing listens, no request was taken, and so none was cut.
  // A request may cross the close of a kept connection; it runs nowhere then,
  // and its caller may send it again.
  const hasCrossed = answer.onKeptConnection && runs === 0;
  if (
    call.onlyPlanned &&
    answer.status === 0 &&
    !answer.refused &&
    !hasCrossed
  ) {
    return "a planned stop cut a request";
  }
  return null;
}

function judgeStream({ id, events, answer, onlyPlanned }: SoakCall) {
  const seen = [...answer.body.matchAll(/^id: (\d+)\ndata: (.+)$/gm)];
  for (const [index, [, event, data]] of seen.entries()) {
    if (Number(event) !== index + 1) return "an event is missing or repeated";
    if (data !== `${id}.${event}`) return "an event of another request";
  }
  if (answer.whole && seen.length !== events) {
    return "a stream that ended early looks whole";
  }
  if (onlyPlanned && !answer.whole) return "a planned stop cut a stream";
  return null;
}

function describe({ id, kind, answer }: SoakCall, runs: number): string {
  const { status, whole, body, tookMs } = answer;
  return (
    `${kind} ${id} status ${status} whole ${whole} runs ${runs} ` +
    `took ${tookMs.toFixed(0)} ms ${JSON.stringify(body.slice(-80))}`
  );
}
