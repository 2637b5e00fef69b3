/** Looks after a run of a stream while nothing comes, and mends its pipeline. */
import { createLogger } from "@rosemarypin/telemetry";
import type { CallerCall } from "./caller_call.ts";
import type { StreamParts, StreamRun } from "./stream_run.ts";

/**
 * Silence after which a stream's first engine is asked. Events come every 20
 * to 60 ms; a pause of 200 ms is late already, and a report costs little.
 */
const SILENCE_MS = 350;
/** The same before the first event, which waits for the prompt to be read. */
const FIRST_SILENCE_MS = 700;
/**
 * After a change of the pipeline the new stages read all tokens so far, which
 * takes some tens of milliseconds for each answer that moves with this one.
 */
const AFTER_CHANGE_MS = 900;
const CHANGE_TIMEOUT_MS = 400;
/** Engines that may refuse one change for want of memory. */
const MOST_TRIES = 3;
/** Changes of one run; after them it goes on elsewhere. */
const MOST_CHANGES = 2;

const log = createLogger("streams");

export interface SilenceWatch {
  /** Something came. */
  heard(): void;
  /** Why the run was stopped, if the watch has stopped it. */
  cause(): string | null;
  end(): void;
}

/**
 * Watches a run. A dead stage shows as silence of all its streams: their
 * engines wait for it for seconds before they break off. The first engine
 * tells which stage it waits for, and that one alone is replaced, so that the
 * others keep what they have read.
 */
export function watchSilence(
  call: CallerCall,
  run: StreamRun,
  parts: StreamParts,
): SilenceWatch {
  const { router, stalls, engines, fleet } = parts;
  const firstMs = Math.max(FIRST_SILENCE_MS, call.route.objectiveMs);
  let cause: string | null = null;
  let ended = false;
  let changes = 0;
  let timer = setTimeout(() => void ask(), firstMs);

  function again(waitMs: number): void {
    if (!ended) timer = setTimeout(() => void ask(), waitMs);
  }

  async function ask(): Promise<void> {
    const verdict = await stalls.ask(run.pipeline.first, call.id);
    if (ended) return;
    if (verdict.kind === "working") return again(SILENCE_MS);
    if (verdict.kind === "first_engine_away") {
      run.avoided.add(run.pipeline.first.id);
      return stop(verdict.kind);
    }
    const { address } = verdict;
    const lost = run.pipeline.stages.find((stage) => stage.address === address);
    if (lost) run.avoided.add(lost.engineId);
    if (changes < MOST_CHANGES && (await replace(address))) {
      changes += 1;
      return again(AFTER_CHANGE_MS);
    }
    if (!ended) stop(verdict.kind);
  }

  /**
   * Puts other engines in the place of a lost stage. All answers that passed
   * through it move at once, and the engine that comes first to mind is soon
   * full; those that it refuses go to the next one. Taken up on a new pipeline
   * instead, each would read all its tokens again on every stage, and use up
   * one of the few runs that its route allows.
   */
  async function replace(address: string): Promise<boolean> {
    const full = new Set<string>();
    for (let tries = 0; tries < MOST_TRIES; tries += 1) {
      const moved = await replaceBy(address, full);
      if (moved !== "full") return moved === "moved";
    }
    return false;
  }

  async function replaceBy(
    address: string,
    full: Set<string>,
  ): Promise<"moved" | "full" | "failed"> {
    const { service } = call;
    const { tokens } = run;
    const avoided = new Set([...run.avoided, ...full]);
    const last = run.pipeline;
    const request = { service, tokens, avoided, address };
    const next = router.replaceStage(last, request);
    if (!next) return "failed";
    const answer = await engines.changePipeline(
      last.first.address,
      { requestId: call.id, pipeline: next.stages },
      CHANGE_TIMEOUT_MS,
    );
    log.info("pipeline_changed", {
      request: call.id,
      lost: address,
      stages: next.stages.length,
      answer: answer.kind,
      detail: "detail" in answer ? answer.detail : undefined,
    });
    if (answer.kind === "moved" && !ended) {
      last.release();
      run.pipeline = next;
      return "moved";
    }
    next.release();
    if (ended || answer.kind !== "no_room") return "failed";
    const refusing = next.stages.find((one) => one.address === answer.address);
    const isNew = refusing && !last.stages.includes(refusing);
    if (!isNew) return "failed";
    full.add(refusing.engineId);
    fleet.doubts.refused(refusing.engineId);
    return "full";
  }

  function stop(reason: string): void {
    cause = reason;
    // A stream that can't be taken up elsewhere may still come to life.
    if (call.route.resumable) run.stop.abort();
    else again(SILENCE_MS);
  }

  return {
    heard() {
      clearTimeout(timer);
      again(SILENCE_MS);
    },
    cause: () => cause,
    end() {
      ended = true;
      clearTimeout(timer);
    },
  };
}
