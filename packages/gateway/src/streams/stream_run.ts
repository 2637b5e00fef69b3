/** Runs a streamed answer on one pipeline. */
import { once } from "node:events";
import { createLogger } from "@rosemarypin/telemetry";
import {
  isMalformedAnswer,
  MISDIRECTED_REQUEST,
  type OpenAnswer,
  type ProcessCheck,
  suspicionReasonOf,
} from "../backends/mod.ts";
import {
  beginAnswer,
  type CallerCall,
  endsWithConnection,
  isCloseDelimited,
  type StreamPace,
  timeLeftMs,
} from "../callers/mod.ts";
import {
  createOutgoingRequest,
  type ForwardingParts,
  isOwnAnswer,
  readBody,
} from "../forwarding/mod.ts";
import type { RequestHandoff } from "../handoff/mod.ts";
import {
  type PromptQuarantine,
  type RunningPrompt,
  type RunningPrompts,
  sharedPromptOf,
} from "../prompts/mod.ts";
import type { AnswerMetadata, EngineCalls, RequestCodec } from "../protocol.ts";
import type { AdmissionParts } from "./admission.ts";
import { createEventSplitter } from "./event_splitter.ts";
import {
  createStageRecovery,
  type StageRecovery,
  type StreamRun,
} from "./stage_recovery.ts";
import type { StallDetector } from "./stall_detector.ts";

export interface StreamParts extends ForwardingParts, AdmissionParts {
  readonly stallDetector: StallDetector;
  readonly engines: EngineCalls;
  readonly handoff: RequestHandoff;
  readonly prompts: RunningPrompts;
  readonly quarantine: PromptQuarantine;
  /** Resolves to whether the address accepts connections. */
  readonly canConnect: (address: string) => Promise<boolean>;
}

const MIN_SERVER_ERROR_STATUS = 500;
const EVENT_STREAM = "text/event-stream";
const MAX_EVENT_BYTES = 262_144;
/** Bound on a body that is no event stream and is held until its end. */
const MAX_BODY_BYTES = 4 * 1_048_576;
/** Line feed and carriage return. */
const LINE_ENDS: ReadonlySet<number> = new Set([0x0a, 0x0d]);

const log = createLogger("streams");

/** The part of the answer that the caller has received so far. */
export interface StreamProgress {
  hasBegun: boolean;
  lastEventId: string | null;
  readonly pace: StreamPace;
}

export interface CompleteRun {
  readonly kind: "complete";
  readonly status: number;
}

export type RunEnd =
  | CompleteRun
  /** An error response of the server, for the caller if no other run follows. */
  | {
      readonly kind: "failed";
      readonly answer: OpenAnswer;
      readonly body: Buffer;
    }
  | {
      readonly kind: "not_run";
      readonly detail: string;
      /** Whether the request reached an engine, which refused it. */
      readonly wasSent: boolean;
    }
  | {
      readonly kind: "broken";
      readonly detail: string;
      /** Whether the engine that received the request stopped responding. */
      readonly isFirstEngineLost: boolean;
    };

/** Sends the call to the run's pipeline and forwards the events to the caller. */
export async function runStream(
  call: CallerCall,
  run: StreamRun,
  options: {
    readonly progress: StreamProgress;
    readonly parts: StreamParts;
    readonly prompt: RunningPrompt;
    /** Counts the call's attempts that have reached servers, with this one. */
    readonly attempt: number;
    /** Called when the first part of the run's answer arrives. */
    readonly onFirstEvent?: () => void;
    /**
     * Called when an engine has begun the answer, which is forwarded once the
     * promise resolves, unless the run was stopped.
     */
    readonly onOpened?: () => Promise<void>;
  },
): Promise<RunEnd> {
  const { progress, parts, prompt } = options;
  let hasEvents = false;
  let isComplete = false;
  const { first, stages, believed } = run.pipeline;
  log.info("request_sent", {
    request: call.id,
    route: call.route.name,
    id: first.id,
    stages: stages.map(({ engineId }) => engineId).join(","),
    attempt: options.attempt,
    prompt_parts: call.metadata.sharedPromptParts.join(",") || undefined,
    after_event: progress.lastEventId ?? undefined,
    left_ms: timeLeftMs(call).toFixed(0),
    load: believed.load.toFixed(2),
    backlog_ms: believed.backlogMs.toFixed(0),
  });
  const recovery = createStageRecovery(call, run, {
    parts,
    mayReplace: (engineId) => mayReplaceStage(engineId),
    onPipelineChanged: () => tracker.onPipelineChanged(),
    lastEventAt: progress.pace.lastEventAt,
  });
  const tracker = parts.stallDetector.track({
    requestId: call.id,
    pipeline: () => run.pipeline,
    onStall: recovery.onStall,
  });
  const promptRun = prompt.startRun({
    engineIds: () => run.pipeline.stages.map(({ engineId }) => engineId),
    stop: () => run.stop.abort(),
  });
  try {
    const result = await send(call, run, options);
    if (result.kind === "not_sent") {
      const { id } = run.pipeline.first;
      parts.fleet.detector.reportFailure(id, suspicionReasonOf(result.detail));
      return { kind: "not_run", detail: result.detail, wasSent: false };
    }
    if (result.kind === "broken") {
      const wasStopped = call.signal.aborted || run.stop.signal.aborted;
      const quality = result.isMalformed ? "error" : "broken";
      if (!wasStopped) recordFailure(run, quality, parts);
      await checkFirstEngine();
      return brokenRun(recovery, result.detail);
    }
    const facts = parts.codec.decodeAnswer(result.status, result.headers);
    if (!isOwnAnswer(call, facts)) {
      result.abandon();
      return brokenRun(recovery, "answer_of_another_request");
    }
    parts.fleet.recordAnswer(run.pipeline.first, result.status, facts);
    if (result.status >= 300)
      return await readErrorAnswer(call, run, result, { facts, parts });
    if (!facts.isSigned) {
      result.abandon();
      return brokenRun(recovery, "unsigned_answer");
    }
    await options.onOpened?.();
    if (run.stop.signal.aborted || call.signal.aborted) {
      result.abandon();
      return brokenRun(recovery, "stopped");
    }
    const { codec, fleet } = parts;
    fleet.outliers.record(run.pipeline.first.id, "good");
    const end = await forwardEvents(call, result, {
      progress,
      codec,
      serverId: first.id,
      onChunk() {
        if (!hasEvents) options.onFirstEvent?.();
        hasEvents = true;
        run.pipeline.markPromptRead();
        tracker.onEvent();
        recovery.onEvent();
        promptRun.onEvent();
      },
      checkEnd: async () =>
        recovery.isStalled() ? "stalled" : parts.fleet.checkProcess(first),
    });
    isComplete = true;
    return end;
  } catch (error) {
    if (isMalformedAnswer(error)) recordFailure(run, "error", parts);
    await checkFirstEngine();
    return brokenRun(
      recovery,
      error instanceof Error ? error.message : String(error),
    );
  } finally {
    recovery.end();
    tracker.end();
    promptRun.end({ isComplete });
    run.pipeline.release();
  }

  /** Finds out whether the prompt may have ended its engine. */
  async function checkFirstEngine(): Promise<void> {
    if (call.signal.aborted) return;
    const check = parts.prompts.checkEnd(run.pipeline.first);
    // Only the answer to a prompt that isn't known to be sound has to wait.
    if (!prompt.isSound()) await check;
  }

  /** Whether the run may go on with another engine in place of a lost one. */
  async function mayReplaceStage(engineId: string): Promise<boolean> {
    const { fleet, prompts, quarantine } = parts;
    const engine = fleet.get(engineId);
    if (prompt.isSound() || !engine) return true;
    const hasEnded = await prompts.checkEnd(engine);
    return !hasEnded || quarantine.mayRepeat(sharedPromptOf(call));
  }
}

/** Records that the first engine failed, and keeps the call away from it. */
function recordFailure(
  run: StreamRun,
  quality: "error" | "broken",
  { fleet }: Pick<StreamParts, "fleet">,
): void {
  const { id } = run.pipeline.first;
  run.avoided.add(id);
  fleet.outliers.record(id, quality);
}

function brokenRun(recovery: StageRecovery, detail: string): RunEnd {
  const cause = recovery.cause();
  return {
    kind: "broken",
    detail: cause ?? detail,
    isFirstEngineLost: cause === "first_engine_away",
  };
}

function send(
  call: CallerCall,
  run: StreamRun,
  options: { readonly progress: StreamProgress; readonly parts: StreamParts },
) {
  const { codec, exchange } = options.parts;
  const { first, stages } = run.pipeline;
  const request = createOutgoingRequest(codec, call, {
    backendId: first.id,
    pipeline: stages,
    lastEventId: options.progress.lastEventId,
  });
  return exchange.send(first, request, {
    signal: AbortSignal.any([call.signal, run.stop.signal]),
    freshConnection: !call.route.resumable,
  });
}

async function readErrorAnswer(
  call: CallerCall,
  run: StreamRun,
  answer: OpenAnswer,
  options: { readonly facts: AnswerMetadata; readonly parts: StreamParts },
): Promise<RunEnd> {
  const { facts, parts } = options;
  const body = await readBody(answer);
  if (!facts.notRun) {
    if (answer.status >= MIN_SERVER_ERROR_STATUS)
      recordFailure(run, "error", parts);
    return { kind: "failed", answer, body };
  }
  const faultyServer = facts.faultyStage
    ? parts.fleet.byAddress(facts.faultyStage)
    : run.pipeline.first;
  log.info("run_refused", {
    request: call.id,
    id: run.pipeline.first.id,
    faulty: faultyServer?.id,
    status: answer.status,
  });
  // A 421 that names no faulty stage means that another engine now has the
  // address of the first stage.
  if (
    faultyServer &&
    answer.status === MISDIRECTED_REQUEST &&
    !facts.faultyStage
  ) {
    parts.fleet.markReplaced(faultyServer.id);
  } else if (faultyServer) {
    run.avoided.reject(faultyServer.id);
    parts.fleet.handleRefusal(faultyServer.id);
  }
  const detail = `refused_${answer.status}`;
  return { kind: "not_run", detail, wasSent: true };
}

/** What is known of the end of an answer without framing. */
type EndEvidence =
  | ProcessCheck
  /** Its engine waited for a lost stage, after which it gives the answer up. */
  | "stalled";

/** Forwards the events of an answer to the caller until it ends. */
export async function forwardEvents(
  call: CallerCall,
  answer: OpenAnswer,
  options: {
    readonly progress: StreamProgress;
    readonly codec: RequestCodec;
    /** Absent for another instance. */
    readonly serverId?: string;
    readonly onChunk?: () => void;
    /** Asks the server whether an end of its connection was the answer's. */
    readonly checkEnd?: () => Promise<EndEvidence>;
  },
): Promise<CompleteRun> {
  const { progress, codec, onChunk, checkEnd } = options;
  const { response } = call;
  const isStream = isEventStream(answer);
  const isUnframed = isCloseDelimited(codec, call.method, answer);
  const splitter = createEventSplitter({
    maxEventBytes: isStream ? MAX_EVENT_BYTES : MAX_BODY_BYTES,
  });
  if (!progress.hasBegun) {
    progress.hasBegun = true;
    beginAnswer(codec, response, {
      ...answer,
      isCloseDelimited: isUnframed && !isStream,
    });
    response.flushHeaders();
  }
  let bytes = 0;
  for await (const chunk of answer.body) {
    bytes += chunk.length;
    onChunk?.();
    for (const event of splitter.push(chunk)) {
      if (event.id !== null && isRepeated(event.id, progress.lastEventId)) {
        continue;
      }
      if (event.id !== null) progress.lastEventId = event.id;
      progress.pace.event();
      if (!response.write(event.bytes)) await waitForDrain(call);
    }
  }
  const trailingBytes = splitter.rest();
  if (endsInsideEvent(answer, trailingBytes))
    throw new Error("answer_ended_inside_event");
  if (isUnframed) await confirmEnd();
  if (trailingBytes.length > 0) response.write(trailingBytes);
  response.end();
  return { kind: "complete", status: answer.status };

  /**
   * Throws unless the end of an answer without framing was its own: connections
   * of a process that ends are closed as after a whole answer.
   */
  async function confirmEnd(): Promise<void> {
    const evidence = isStream ? ((await checkEnd?.()) ?? "none") : "none";
    const isConfirmed = evidence === "same_process";
    const claimsNothing = !isStream && endsWithConnection(response);
    log.info("close_delimited_answer", {
      request: call.id,
      id: options.serverId,
      status: answer.status,
      bytes,
      after_event: progress.lastEventId ?? undefined,
      evidence,
      decision: isConfirmed
        ? "complete"
        : claimsNothing
          ? "relayed_unframed"
          : "broken",
    });
    if (!isConfirmed && !claimsNothing) throw new Error("end_not_confirmed");
  }
}

/**
 * Whether the bytes behind the last event are a part of one. An answer without
 * a length ends with its connection, also when its engine fails.
 */
function endsInsideEvent(answer: OpenAnswer, trailingBytes: Buffer): boolean {
  if (!isEventStream(answer)) return false;
  return trailingBytes.some((byte) => !LINE_ENDS.has(byte));
}

function isEventStream({ headers }: OpenAnswer): boolean {
  const type = String(headers["content-type"] ?? EVENT_STREAM);
  return type.startsWith(EVENT_STREAM);
}

/** A resumed run may start with events that the caller already has. */
function isRepeated(id: string, lastEventId: string | null): boolean {
  return lastEventId !== null && Number(id) <= Number(lastEventId);
}

/** Resolves when the response accepts more data or the call is aborted. */
async function waitForDrain({ response, signal }: CallerCall): Promise<void> {
  await once(response, "drain", { signal }).catch(() => {});
}
