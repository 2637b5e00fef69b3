/** Reads the engine events of one attempt and delivers its tokens. */
import type { EngineEvent, Stage } from "@rosemarypin/schemas";
import {
  type AttemptEnd,
  isVersionAllowed,
  type RunningAttempt,
} from "./answer_attempt_state.ts";
import { recordImport, recordMissingCache } from "./answer_cache_import.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { createEventReader } from "./answer_liveness.ts";
import { createSilence, type Silence } from "./answer_silence.ts";
import { checkStall } from "./answer_stall.ts";
import { createTokenOrder, type TokenEvent } from "./answer_token_order.ts";

const CANCELLED: AttemptEnd = { kind: "retry", reason: "cancelled" };

/** Yields the tokens of an attempt in order, until the attempt ends. */
export async function* streamAttempt(
  events: AsyncIterable<EngineEvent>,
  options: RunningAttempt,
): AsyncGenerator<AnswerEvent, AttemptEnd> {
  const silence = createSilence(options);
  try {
    return yield* readEvents(events, { ...options, silence });
  } finally {
    silence.stop();
  }
}

async function* readEvents(
  events: AsyncIterable<EngineEvent>,
  options: RunningAttempt & { readonly silence: Silence },
): AsyncGenerator<AnswerEvent, AttemptEnd> {
  const { progress, attempt, pace, lostStages, silence } = options;
  const reader = createEventReader(events);
  const order = createTokenOrder(progress.deliveredTokens.length);
  const firstEngine = attempt.stages[0]?.engine ?? "";
  let silentMs = 0;
  let waitingSince = performance.now();
  while (true) {
    const next = await silence.orSuccessor(
      reader.next(pace.silenceThresholdMs()),
    );
    if (!(await mayDeliver(options))) return CANCELLED;
    if (next.kind === "successor") return silence.switchTo(next.migration);
    if (next.kind === "timeout") {
      silentMs = performance.now() - waitingSince;
      const stall = await checkStall(silentMs, { ...options, reader });
      if (stall?.kind === "silent") silence.begin(stall.engines);
      else if (stall) return stall;
      continue;
    }
    silence.end();
    if (next.kind === "ended") {
      lostStages.set(firstEngine, "unreachable");
      return { kind: "retry", reason: "the stream broke" };
    }
    const { event } = next;
    // Late events of an abandoned attempt are not part of the answer.
    if (event.attempt !== attempt.attempt) continue;
    switch (event.type) {
      case "started":
      case "done":
        break;
      case "token": {
        const result = order.offer(event);
        if (result.kind === "overflow") {
          return { kind: "retry", reason: "a token is missing" };
        }
        for (const token of result.tokens) {
          if (!(await mayDeliver(options))) return CANCELLED;
          pace.observe(performance.now() - waitingSince);
          recordToken(token, options);
          const { index, text } = token;
          yield { type: "token", index, text, engine: firstEngine };
          waitingSince = performance.now();
          if (token.ends) return { kind: "done", reason: token.ends };
        }
        const migration = options.migrator.takeMigration();
        if (migration) return { kind: "migrated", migration };
        break;
      }
      case "imported":
        recordImport(event, options);
        break;
      case "stage_lost": {
        const stage = attempt.stages[event.stage];
        if (stage) lostStages.set(stage.engine, event.cause);
        if (stage && event.cause === "no_cache") {
          const elapsedMs = performance.now() - options.startedAt;
          recordMissingCache(stage, { ...options, elapsedMs });
          await refreshEngineState(stage, options);
        }
        return { kind: "retry", reason: event.reason };
      }
      case "cancelled":
        return event.takenOver
          ? { kind: "taken_over" }
          : { kind: "retry", reason: event.reason };
    }
  }
}

/**
 * Checks before each token that the answer's version is still allowed. It may
 * have been withdrawn while a slow caller delayed the token or while this
 * process was frozen.
 */
async function mayDeliver(options: RunningAttempt): Promise<boolean> {
  const { attempt, keeper, signal } = options;
  return !signal.aborted && (await isVersionAllowed(attempt, keeper));
}

function recordToken(token: TokenEvent, options: RunningAttempt): void {
  const { progress, metrics, onFirstToken, attempt } = options;
  progress.deliveredTokens.push(token.text);
  progress.digest = token.digest;
  options.grant.observeToken();
  if (progress.attemptsSinceToken === 0) return;
  progress.attemptsSinceToken = 0;
  onFirstToken();
  if (progress.stageLostAt === null) return;
  const seconds = (performance.now() - progress.stageLostAt) / 1_000;
  metrics?.recoverySeconds.observe({ model: attempt.model }, seconds);
  progress.stageLostAt = null;
}

/** Reads an engine's state into the fleet, such as a restart or a drain. */
export async function refreshEngineState(
  { address }: Stage,
  options: Pick<RunningAttempt, "engines" | "fleet" | "liveness">,
): Promise<void> {
  const { engines, fleet, liveness } = options;
  const timeoutMs = liveness.probeMs;
  const state = await engines.readState(address, { timeoutMs });
  if (state) fleet.observe(state);
}
