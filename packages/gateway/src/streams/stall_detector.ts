/**
 * Detects stalled answers and the engine that blocks them.
 *
 * When an engine is lost, the events of all answers on its pipeline stop at the
 * same time. Together these answers have much shorter gaps between events than
 * a single one, so their common silence is detected much sooner.
 */
import { createLogger } from "@rosemarypin/telemetry";
import type { EngineReport } from "../backend_server.ts";
import type { BackendFleet } from "../backends/mod.ts";
import type { EngineCalls } from "../protocol.ts";
import { createEventGaps, type EventGaps } from "./event_gaps.ts";
import { createEventPace, type EventPace } from "./event_pace.ts";
import type { ChosenPipeline } from "./pipeline_router.ts";

/**
 * Bounds of the time between two ticks. Each tick wakes the process up. A
 * deadline that is set between two ticks is never closer than the upper bound,
 * so the next tick isn't too late for it.
 */
const MIN_TICK_MS = 20;
const MAX_TICK_MS = 60;
/** Silence of one answer after which its first engine is probed. */
const MAX_ANSWER_SILENCE_MS = 350;
/** Time allowed for the first event, while the engines read the prompt. */
const FIRST_EVENT_TIMEOUT_MS = 250;
/**
 * Time without a first event after which a request counts as dropped by its
 * engine, if the engine reports that no request waits there and other answers
 * on the pipeline have events.
 */
const DROPPED_AFTER_MS = 400;
/**
 * Time without events on the whole pipeline from which on a later stage may be
 * lost, so that a request without an event needn't be dropped.
 */
const MAX_SILENCE_OF_OTHERS_MS = 100;
/** Time allowed for the next event, while a new stage reads all tokens. */
const EVENT_AFTER_CHANGE_TIMEOUT_MS = 900;
/** Engines that are reachable report within a few milliseconds. */
const PROBE_TIMEOUT_MS = 100;
/**
 * Bounds of the pause between two checks of a pipeline, which doubles with each
 * check. Without this backoff, engines that become slow would be probed all the
 * time, since their gaps stay longer than expected.
 */
const MIN_RECHECK_MS = 100;
const MAX_RECHECK_MS = 800;
/** Time without a check after which the pause starts at its minimum. */
const RECHECK_RESET_MS = 2_000;
/** Minimum time between two readings of the reports of a slow pipeline. */
const SLOW_RECHECK_MS = 2_000;
/** Time for which pipelines share the report of an engine. */
const REPORT_CACHE_MS = 100;
/**
 * Delay of a tick that shows that this process was itself blocked. Events that
 * arrived meanwhile are still unread, so the silence says nothing about the
 * engines.
 */
const PROCESS_STALL_MS = 40;

const log = createLogger("streams");

/** The cause of a stalled answer. */
export type Stall =
  /** The engine that streams the answer does not respond. */
  | { readonly kind: "first_engine" }
  /** The engine that received the request responds, but dropped the request. */
  | { readonly kind: "dropped" }
  /** A later stage does not respond to this instance or to another stage. */
  | { readonly kind: "stage"; readonly address: string };

/** An answer in progress whose events the detector tracks. */
export interface TrackedAnswer {
  readonly requestId: string;
  /** The current pipeline of the answer. */
  pipeline(): ChosenPipeline;
  onStall(stall: Stall): void;
}

/** Receives what happens to one tracked answer. */
export interface AnswerTracker {
  /** Reports an event of the answer. */
  onEvent(): void;
  /** Reports that the answer's pipeline was changed. */
  onPipelineChanged(): void;
  end(): void;
}

export interface StallDetector {
  track(answer: TrackedAnswer): AnswerTracker;
}

interface AnswerState {
  readonly answer: TrackedAnswer;
  group: PipelineGroup;
  /** Whether an event arrived since the last change of the pipeline. */
  hasBegun: boolean;
  /** Whether the run has had an event, on whichever pipeline. */
  hasHadEvent: boolean;
  readonly trackedAt: number;
  lastEventAt: number;
  /** Deadline for the next event. */
  dueAt: number;
}

/** The answers on one pipeline and the state of its checks. */
interface PipelineGroup {
  readonly key: string;
  readonly members: Set<AnswerState>;
  lastEventAt: number;
  readonly gaps: EventGaps;
  readonly pace: EventPace;
  nextPaceCheckAt: number;
  isChecking: boolean;
  recheckMs: number;
  nextCheckAt: number;
}

/** A requested report, shared by pipelines with the same engine. */
interface CachedReport {
  readonly requestedAt: number;
  readonly report: Promise<EngineReport | null>;
}

interface ProbedEngine {
  readonly engineId: string;
  readonly address: string;
  /** `null` when it did not arrive in time. */
  readonly report: EngineReport | null;
}

export interface StallDetectorOptions {
  readonly fleet: BackendFleet;
  readonly engines: EngineCalls;
}

/** Creates the detector of one instance. */
export function createStallDetector({
  fleet,
  engines,
}: StallDetectorOptions): StallDetector {
  const groups = new Map<string, PipelineGroup>();
  const cachedReports = new Map<string, CachedReport>();
  let tickTimer: NodeJS.Timeout | null = null;
  let tickDueAt = performance.now();
  let processStalledAt = -Infinity;

  function groupOf(pipeline: ChosenPipeline): PipelineGroup {
    const key = pipeline.stages.map(({ engineId }) => engineId).join(",");
    const existing = groups.get(key);
    if (existing) return existing;
    const group: PipelineGroup = {
      key,
      members: new Set(),
      lastEventAt: performance.now(),
      gaps: createEventGaps(),
      pace: createEventPace(),
      nextPaceCheckAt: 0,
      isChecking: false,
      recheckMs: MIN_RECHECK_MS,
      nextCheckAt: 0,
    };
    groups.set(key, group);
    return group;
  }

  function joinGroup(answerState: AnswerState, waitMs: number): void {
    answerState.group = groupOf(answerState.answer.pipeline());
    answerState.group.members.add(answerState);
    answerState.dueAt = performance.now() + waitMs;
    if (!tickTimer) scheduleTick(MIN_TICK_MS);
  }

  function leaveGroup(answerState: AnswerState): void {
    const { group } = answerState;
    group.members.delete(answerState);
    if (group.members.size === 0) groups.delete(group.key);
    if (groups.size > 0) return;
    if (tickTimer) clearTimeout(tickTimer);
    tickTimer = null;
  }

  function recordEvent(answerState: AnswerState): void {
    const now = performance.now();
    const { group } = answerState;
    const gapMs = now - group.lastEventAt;
    group.lastEventAt = now;
    group.gaps.record(answerState.hasBegun ? gapMs : null);
    if (answerState.hasBegun) group.pace.record(now - answerState.lastEventAt);
    answerState.hasBegun = true;
    answerState.hasHadEvent = true;
    answerState.lastEventAt = now;
    answerState.dueAt = now + MAX_ANSWER_SILENCE_MS;
  }

  function scheduleTick(ms: number): void {
    tickDueAt = performance.now() + ms;
    tickTimer = setTimeout(tick, ms);
  }

  function tick(): void {
    const now = performance.now();
    tickTimer = null;
    if (isTickOverdue()) {
      processStalledAt = now;
      return scheduleTick(MIN_TICK_MS);
    }
    for (const group of [...groups.values()]) {
      if (!group.isChecking && now >= group.nextCheckAt) checkIfDue(group, now);
    }
    // Checks may have ended the last answer, or have scheduled a tick.
    if (groups.size === 0 || tickTimer) return;
    const waitMs = Math.min(...[...groups.values()].map(nextCheckDueAt)) - now;
    scheduleTick(Math.min(MAX_TICK_MS, Math.max(MIN_TICK_MS, waitMs)));
  }

  /** When to check the pipeline if no event arrives until then. */
  function nextCheckDueAt(group: PipelineGroup): number {
    const members = [...group.members];
    const answersDueAt = Math.min(...members.map(({ dueAt }) => dueAt));
    const hasBegun = members.some((member) => member.hasBegun);
    const silentAt =
      group.lastEventAt + (hasBegun ? group.gaps.silenceLimitMs() : Infinity);
    return Math.max(group.nextCheckAt, Math.min(answersDueAt, silentAt));
  }

  function checkIfDue(group: PipelineGroup, now: number): void {
    const begunAnswers = [...group.members].filter(({ hasBegun }) => hasBegun);
    const isSilent =
      begunAnswers.length > 0 &&
      now - group.lastEventAt >= group.gaps.silenceLimitMs();
    const isFirstEventOverdue = [...group.members].some(
      ({ hasBegun, dueAt }) => !hasBegun && now >= dueAt,
    );
    if (isSilent || (isFirstEventOverdue && begunAnswers.length === 0)) {
      void checkPipeline(group, true);
    } else if ([...group.members].some(({ dueAt }) => now >= dueAt)) {
      void checkPipeline(group, false);
    } else if (now >= group.nextPaceCheckAt && group.pace.isSlow()) {
      group.nextPaceCheckAt = now + SLOW_RECHECK_MS;
      readReports(group);
    }
  }

  /** Reads the reports of all engines of a pipeline to find slow ones. */
  function readReports(group: PipelineGroup): void {
    const [member] = group.members;
    for (const { engineId, address } of member?.answer.pipeline().stages ?? [])
      void requestReport(engineId, address);
  }

  /** Probes all engines of a pipeline, or only the first one. */
  async function checkPipeline(
    group: PipelineGroup,
    probeAll: boolean,
  ): Promise<void> {
    const [member] = group.members;
    if (!member) return;
    const { stages } = member.answer.pipeline();
    const checkStartedAt = performance.now();
    const idleMs = checkStartedAt - group.nextCheckAt;
    if (idleMs > RECHECK_RESET_MS) group.recheckMs = MIN_RECHECK_MS;
    group.isChecking = true;
    const probed = await Promise.all(
      (probeAll ? stages : stages.slice(0, 1)).map(
        async ({ engineId, address }) => {
          return {
            engineId,
            address,
            report: await requestReport(engineId, address),
          };
        },
      ),
    );
    group.isChecking = false;
    group.nextCheckAt = performance.now() + group.recheckMs;
    group.recheckMs = Math.min(MAX_RECHECK_MS, group.recheckMs * 2);
    const wasProcessStalled =
      processStalledAt >= checkStartedAt || isTickOverdue();
    const hasProgressed = group.lastEventAt > checkStartedAt;
    const hasMissingReport = probed.some(({ report }) => !report);
    if (wasProcessStalled || (hasProgressed && (probeAll || hasMissingReport)))
      return;
    evaluateReports(group, probed);
  }

  /** Whether the scheduled tick is so late that this process was blocked. */
  function isTickOverdue(): boolean {
    return performance.now() - tickDueAt > PROCESS_STALL_MS;
  }

  /** Suspects engines without a report and notifies the stalled answers. */
  function evaluateReports(
    group: PipelineGroup,
    probed: readonly ProbedEngine[],
  ): void {
    const lost = probed.filter(({ report }) => !report);
    for (const { engineId } of lost)
      fleet.detector.reportFailure(engineId, "unresponsive");
    if (lost.length > 0) {
      log.warn("pipeline_silent", {
        first: probed[0]?.engineId,
        lost: lost.map(({ engineId }) => engineId).join(","),
        answers: group.members.size,
        silent_ms: (performance.now() - group.lastEventAt).toFixed(0),
      });
    }
    const firstReport = probed[0]?.report;
    if (!firstReport)
      return notifyStalled(group, () => ({ kind: "first_engine" }));
    const [lostStage] = lost;
    if (lostStage) {
      const { address } = lostStage;
      return notifyStalled(group, () => ({ kind: "stage", address }));
    }
    if (firstReport.waiting === 0) notifyDropped(group);
    const stalled = new Map(
      firstReport.stalled.map(({ requestId, address }) => [requestId, address]),
    );
    notifyStalled(group, ({ requestId }) => {
      const address = stalled.get(requestId);
      return address === undefined ? null : suspectStage(address);
    });
  }

  /** Notifies the answers that the first engine has dropped. */
  function notifyDropped(group: PipelineGroup): void {
    const now = performance.now();
    if (now - group.lastEventAt > MAX_SILENCE_OF_OTHERS_MS) return;
    for (const { answer, hasHadEvent, trackedAt } of [...group.members]) {
      if (hasHadEvent || now - trackedAt < DROPPED_AFTER_MS) continue;
      answer.onStall({ kind: "dropped" });
    }
  }

  /** Suspects a stage that another stage reported as unreachable. */
  function suspectStage(address: string): Stall {
    const stage = fleet.byAddress(address);
    if (stage) fleet.detector.reportFailure(stage.id, "silent");
    return { kind: "stage", address };
  }

  function notifyStalled(
    group: PipelineGroup,
    findStall: (answer: TrackedAnswer) => Stall | null,
  ): void {
    for (const { answer } of [...group.members]) {
      const stall = findStall(answer);
      if (stall) answer.onStall(stall);
    }
  }

  function requestReport(
    id: string,
    address: string,
  ): Promise<EngineReport | null> {
    const now = performance.now();
    const cached = cachedReports.get(id);
    if (cached && now - cached.requestedAt < REPORT_CACHE_MS)
      return cached.report;
    const report = engines.report(address, PROBE_TIMEOUT_MS);
    cachedReports.set(id, { requestedAt: now, report });
    return report.then((received) => {
      if (received) fleet.putReport(id, received);
      return received;
    });
  }

  return {
    track(answer) {
      const answerState: AnswerState = {
        answer,
        group: groupOf(answer.pipeline()),
        hasBegun: false,
        hasHadEvent: false,
        trackedAt: performance.now(),
        lastEventAt: 0,
        dueAt: 0,
      };
      joinGroup(answerState, FIRST_EVENT_TIMEOUT_MS);
      return {
        onEvent: () => recordEvent(answerState),
        onPipelineChanged() {
          leaveGroup(answerState);
          // A new stage has to read all tokens so far before the next event.
          answerState.hasBegun = false;
          joinGroup(answerState, EVENT_AFTER_CHANGE_TIMEOUT_MS);
        },
        end: () => leaveGroup(answerState),
      };
    },
  };
}
