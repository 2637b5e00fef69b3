/**
 * Forwards answers that come as a stream of events, and takes a broken one up
 * on another pipeline behind the last event that the caller has.
 */
import { pause } from "@rosemarypin/timing";
import type { BackendExchange, OpenAnswer } from "./backend_exchange.ts";
import type { BackendFleet } from "./backend_fleet.ts";
import { endWithRefusal } from "./caller_answer.ts";
import {
  type CallEnd,
  type CallerCall,
  priorityOf,
  timeLeftMs,
} from "./caller_call.ts";
import { createEventSplitter } from "./event_splitter.ts";
import type { ChosenPipeline, PipelineRouter } from "./pipeline_router.ts";
import type { RequestCodec } from "./protocol.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { StallWatch } from "./stall_watch.ts";

/** Pipelines that may refuse an answer before the caller is refused. */
const MOST_REFUSALS = 4;
/**
 * Silence after which a stream's first engine is asked. Events come every 20
 * to 60 ms; a pause of 200 ms is late already, and a report costs little.
 */
const SILENCE_MS = 400;
/** The same before the first event, which waits for the prompt to be read. */
const FIRST_SILENCE_MS = 900;

/**
 * How long an answer that has begun waits for a pipeline while layers of a
 * lost engine are loaded elsewhere, which takes one to two seconds. One that
 * has not begun is refused at once instead: its caller can come back.
 */
const LONGEST_WAIT_MS = 4_000;
const WAIT_STEP_MS = 100;

export interface StreamParts {
  readonly codec: RequestCodec;
  readonly exchange: BackendExchange;
  readonly fleet: BackendFleet;
  readonly budget: RetryBudget;
  readonly router: PipelineRouter;
  readonly stalls: StallWatch;
}

/** What the caller has of the answer so far. */
interface Progress {
  begun: boolean;
  lastEventId: string | null;
  firstByteMs: number | null;
}

type RunEnd =
  | { readonly kind: "complete"; readonly status: number }
  /** A failure that the server has signed, held back until it is final. */
  | {
      readonly kind: "failed";
      readonly answer: OpenAnswer;
      readonly body: Buffer;
    }
  | { readonly kind: "not_run"; readonly detail: string }
  | { readonly kind: "broken"; readonly detail: string };

/** Forwards a call until its stream is complete or can't be. */
export async function forwardStream(
  call: CallerCall,
  parts: StreamParts,
): Promise<CallEnd> {
  const { budget, router } = parts;
  const progress: Progress = {
    begun: false,
    lastEventId: call.facts.lastEventId,
    firstByteMs: null,
  };
  const avoided = new Set<string>();
  let attempts = 0;
  let runs = 0;
  let waitedMs = 0;
  let last: RunEnd = { kind: "not_run", detail: "no_pipeline" };
  while (!call.signal.aborted) {
    const pipeline = router.choose({
      service: call.service,
      tokens: tokensOf(call),
      avoided,
    });
    if (!pipeline) {
      if (!progress.begun || waitedMs >= LONGEST_WAIT_MS) break;
      await pause(WAIT_STEP_MS, call.signal);
      waitedMs += WAIT_STEP_MS;
      continue;
    }
    if (attempts > 0 && !budget.take(call.service.name)) {
      pipeline.release();
      break;
    }
    attempts += 1;
    last = await runOnce(call, { pipeline, progress, parts, avoided });
    pipeline.release();
    if (last.kind === "complete") break;
    if (last.kind === "not_run") {
      if (attempts - runs > MOST_REFUSALS) break;
      continue;
    }
    runs += 1;
    if (!call.route.resumable || runs >= call.route.maxAttempts) break;
  }
  return endOf(call, { last, progress, attempts, runs, codec: parts.codec });
}

function tokensOf({ facts, service }: CallerCall): number {
  const model = service.engine?.model;
  const usualAnswer = model?.usualAnswerTokens ?? 0;
  const prompt = facts.promptTokens ?? model?.usualPromptTokens ?? 0;
  return prompt + Math.min(facts.mostAnswerTokens ?? usualAnswer, usualAnswer);
}

async function runOnce(
  call: CallerCall,
  run: {
    readonly pipeline: ChosenPipeline;
    readonly progress: Progress;
    readonly parts: StreamParts;
    readonly avoided: Set<string>;
  },
): Promise<RunEnd> {
  const { pipeline, progress, parts, avoided } = run;
  const { codec, exchange, fleet } = parts;
  const { first, stages } = pipeline;
  const stop = new AbortController();
  const signal = AbortSignal.any([call.signal, stop.signal]);
  const silence = watchSilence(call, { run, stop });
  try {
    const result = await exchange.send(
      first,
      {
        method: call.method,
        path: call.path,
        headers: codec.encodeAttempt(call.rawHeaders, {
          backendId: first.id,
          organisation: call.organisation?.name ?? null,
          deadlineMs: timeLeftMs(call),
          priority: priorityOf(call),
          pipeline: stages,
          lastEventId: progress.lastEventId,
        }),
        body: call.body,
      },
      { signal, freshConnection: !call.route.resumable },
    );
    if (result.kind === "not_sent") {
      fleet.suspicion.failed(first.id);
      return { kind: "not_run", detail: result.detail };
    }
    if (result.kind === "broken") {
      return { kind: "broken", detail: silence.cause() ?? result.detail };
    }
    const facts = codec.decodeAnswer(result.status, result.headers);
    if (
      (facts.requestId !== null && facts.requestId !== call.facts.requestId) ||
      !facts.plainBody
    ) {
      result.abandon();
      return { kind: "broken", detail: "answer_of_another_request" };
    }
    if (result.status >= 300) {
      if (facts.faultyStage !== null) {
        const stage = fleet.byAddress(facts.faultyStage);
        if (stage) {
          avoided.add(stage.id);
          fleet.suspicion.failed(stage.id);
        }
      } else if (facts.notRun) {
        avoided.add(first.id);
      }
      const body = await readAll(result);
      if (facts.notRun) {
        return { kind: "not_run", detail: `refused_${result.status}` };
      }
      return { kind: "failed", answer: result, body };
    }
    if (!facts.signed) {
      result.abandon();
      return { kind: "broken", detail: "unsigned_answer" };
    }
    return await passOnEvents(call, result, { progress, codec, silence });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: "broken", detail: silence.cause() ?? reason };
  } finally {
    silence.end();
  }
}

async function readAll(answer: OpenAnswer): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of answer.body) chunks.push(chunk);
  return Buffer.concat(chunks);
}

interface SilenceWatch {
  /** Something came. */
  heard(): void;
  /** Why the run was stopped, if the watch has stopped it. */
  cause(): string | null;
  end(): void;
}

/** Stops a run whose engines no longer work on it. */
function watchSilence(
  call: CallerCall,
  options: {
    readonly run: {
      readonly pipeline: ChosenPipeline;
      readonly progress: Progress;
      readonly parts: StreamParts;
      readonly avoided: Set<string>;
    };
    readonly stop: AbortController;
  },
): SilenceWatch {
  const { run, stop } = options;
  const { pipeline, parts, avoided } = run;
  const firstMs = Math.max(FIRST_SILENCE_MS, call.route.objectiveMs);
  let cause: string | null = null;
  let ended = false;
  let timer = setTimeout(() => void ask(), firstMs);

  async function ask(): Promise<void> {
    const verdict = await parts.stalls.ask(pipeline.first, call.id);
    if (ended) return;
    if (verdict.kind === "working") {
      timer = setTimeout(() => void ask(), SILENCE_MS);
      return;
    }
    cause = verdict.kind;
    const id =
      verdict.kind === "stage_away"
        ? pipeline.stages.find(({ address }) => address === verdict.address)
            ?.engineId
        : pipeline.first.id;
    if (id) avoided.add(id);
    // A stream that can't be taken up elsewhere may still come to life.
    if (call.route.resumable) stop.abort();
  }

  return {
    heard() {
      clearTimeout(timer);
      timer = setTimeout(() => void ask(), SILENCE_MS);
    },
    cause: () => cause,
    end() {
      ended = true;
      clearTimeout(timer);
    },
  };
}

async function passOnEvents(
  call: CallerCall,
  answer: OpenAnswer,
  run: {
    readonly progress: Progress;
    readonly codec: RequestCodec;
    readonly silence: SilenceWatch;
  },
): Promise<RunEnd> {
  const { progress, codec, silence } = run;
  const { response } = call;
  const splitter = createEventSplitter();
  if (!progress.begun) {
    progress.begun = true;
    response.writeHead(answer.status, codec.encodeAnswer(answer.headers));
    response.flushHeaders();
  }
  for await (const chunk of answer.body) {
    silence.heard();
    for (const event of splitter.push(chunk)) {
      if (event.id !== null && isRepeated(event.id, progress.lastEventId)) {
        continue;
      }
      if (event.id !== null) progress.lastEventId = event.id;
      progress.firstByteMs ??= performance.now() - call.startedAt;
      if (!response.write(event.bytes)) await drained(call);
    }
  }
  const rest = splitter.rest();
  if (rest.length > 0) response.write(rest);
  response.end();
  return { kind: "complete", status: answer.status };
}

/** A run that was taken up may begin with events that the caller has. */
function isRepeated(id: string, last: string | null): boolean {
  return last !== null && Number(id) <= Number(last);
}

function drained({ response, signal }: CallerCall): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    response.once("drain", resolve);
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}

function endOf(
  call: CallerCall,
  state: {
    readonly last: RunEnd;
    readonly progress: Progress;
    readonly attempts: number;
    readonly runs: number;
    readonly codec: RequestCodec;
  },
): CallEnd {
  const { last, progress, attempts, runs, codec } = state;
  const { firstByteMs } = progress;
  if (last.kind === "complete") {
    const { status } = last;
    const outcome = "answered";
    return { status, outcome, reason: outcome, attempts, firstByteMs };
  }
  if (call.callerLeft()) {
    const reason = "caller_left";
    return { status: 0, outcome: reason, reason, attempts, firstByteMs };
  }
  if (progress.begun) {
    // An answer that ends early must not look complete to its caller.
    call.response.destroy();
    const reason = last.kind === "failed" ? "failed_midway" : last.detail;
    return { status: 0, outcome: "cut", reason, attempts, firstByteMs };
  }
  if (last.kind === "failed") {
    const { status, headers } = last.answer;
    call.response.writeHead(status, codec.encodeAnswer(headers));
    call.response.end(last.body);
    const reason = `status_${status}`;
    return { status, outcome: "answered", reason, attempts, firstByteMs };
  }
  const outcome = runs > 0 ? "unknown" : "not_run";
  return endWithRefusal(codec, call, {
    outcome,
    reason: last.detail,
    attempts,
  });
}
