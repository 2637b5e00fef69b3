/**
 * Prompts of the answers in progress, and the engines that run them. When an
 * engine ends, those that it had only begun to answer may have caused it.
 */
import { createLogger } from "@rosemarypin/telemetry";
import type { BackendServer } from "../backend_server.ts";
import type { CallerCall } from "../callers/mod.ts";
import type { PromptPart } from "./crash_ledger.ts";
import { type SharedPrompt, sharedPromptOf } from "./shared_prompt.ts";

/**
 * Events and time from which on an answer shows that its prompt is sound. An
 * engine that a prompt ends writes an event or two at most. Slow engines have
 * few events in this time, and fast ones may lag behind with a burst of them.
 */
const SOUND_AFTER_EVENTS = 4;
const SOUND_AFTER_MS = 300;
/**
 * Time for which a run that broke off counts as one of the ended engine: its
 * connection may close before those of the other runs there.
 */
const BROKEN_RUN_MS = 1_000;
/** Prompt parts in one log line. */
const MAX_LOGGED_PARTS = 40;

const log = createLogger("prompts");

/** The end of an engine with answers in progress on it. */
export interface EngineEnd {
  readonly service: string;
  /** The engine's ID and the start that it has ended since. */
  readonly engine: string;
  /** By the monotonic clock, in milliseconds. */
  readonly at: number;
  /** Shared parts of each prompt that isn't known to be sound. */
  readonly prompts: readonly (readonly string[])[];
}

/** An answer that has shown that its prompt is sound. */
export interface BegunAnswer extends SharedPrompt {
  /** Time of its first event, by the monotonic clock. */
  readonly begunAt: number;
}

/** One call's prompt; what a run shows of it holds for the later ones. */
export interface RunningPrompt {
  /** Whether an answer to the prompt has been written. */
  isSound(): boolean;
  startRun(run: {
    /** Returns the engines of the run's current pipeline. */
    readonly engineIds: () => readonly string[];
    /** Ends the run before its engine is lost to it. */
    readonly stop: () => void;
  }): PromptRun;
}

/** One attempt to answer a prompt. */
export interface PromptRun {
  onEvent(): void;
  end(options: { readonly isComplete: boolean }): void;
}

export interface RunningPrompts {
  track(call: Pick<CallerCall, "service" | "metadata">): RunningPrompt;
  /**
   * Resolves to whether an engine that broke answers off has ended, and reports
   * it once.
   */
  checkEnd(engine: BackendServer): Promise<boolean>;
  /** Stops runs of prompts with the part that aren't known to be sound. */
  stopRuns(part: PromptPart): void;
}

export interface RunningPromptsOptions {
  /** Resolves to whether the address refuses connections. */
  readonly refusesConnections: (address: string) => Promise<boolean>;
  /** Resolves to whether this instance reaches no server of a service. */
  readonly isCutOff: (service: string) => Promise<boolean>;
  /** Called when an answer shows that its prompt is sound. */
  readonly onSound: (answer: BegunAnswer) => void;
  readonly onEngineEnd: (end: EngineEnd) => void;
}

interface RunState extends SharedPrompt {
  readonly isSound: () => boolean;
  readonly engineIds: () => readonly string[];
  readonly stop: () => void;
}

/** Creates the record without answers in progress. */
export function createRunningPrompts({
  refusesConnections,
  isCutOff,
  onSound,
  onEngineEnd,
}: RunningPromptsOptions): RunningPrompts {
  const runs = new Set<RunState>();
  const checks = new Map<string, Promise<boolean>>();

  function track(
    call: Pick<CallerCall, "service" | "metadata">,
  ): RunningPrompt {
    const shared = sharedPromptOf(call);
    let hasBeenSound = false;
    const isSound = () => hasBeenSound;

    function recordSound(begunAt: number): void {
      hasBeenSound = true;
      onSound({ ...shared, begunAt });
    }

    return {
      isSound,
      startRun(options) {
        const run: RunState = { ...shared, ...options, isSound };
        let events = 0;
        let begunAt = 0;
        let isRecorded = false;
        runs.add(run);
        return {
          onEvent() {
            if (isRecorded) return;
            const now = performance.now();
            events += 1;
            if (events === 1) begunAt = now;
            isRecorded =
              events >= SOUND_AFTER_EVENTS && now - begunAt >= SOUND_AFTER_MS;
            if (isRecorded) recordSound(begunAt);
          },
          end({ isComplete }) {
            if (isComplete) {
              if (!isRecorded && events > 0) recordSound(begunAt);
              runs.delete(run);
              return;
            }
            setTimeout(() => runs.delete(run), BROKEN_RUN_MS).unref();
          },
        };
      },
    };
  }

  async function hasEnded(engine: BackendServer): Promise<boolean> {
    if (!(await refusesConnections(engine.address))) return false;
    // While this instance has lost its links, all engines look as if they had
    // ended.
    if (await isCutOff(engine.service)) return false;
    report(engine);
    return true;
  }

  function report({ id, service, startedAt }: BackendServer): void {
    const unproven = [...runs].filter(
      (run) => !run.isSound() && run.engineIds().includes(id),
    );
    const prompts = unproven
      .map(({ parts }) => parts)
      .filter((parts) => parts.length > 0);
    const parts = [...new Set(prompts.flat())];
    log.warn("engine_ended", {
      id,
      service,
      prompts: unproven.length,
      prompt_parts: parts.slice(0, MAX_LOGGED_PARTS).join(",") || undefined,
    });
    const at = performance.now();
    onEngineEnd({ service, engine: `${id}@${startedAt}`, at, prompts });
  }

  return {
    track,
    stopRuns({ service, part }) {
      for (const run of runs) {
        if (run.service !== service || run.isSound()) continue;
        if (run.parts.includes(part)) run.stop();
      }
    },
    checkEnd(engine) {
      const key = `${engine.id} ${engine.startedAt}`;
      const existing = checks.get(key);
      if (existing) return existing;
      const check = hasEnded(engine);
      checks.set(key, check);
      void check.then((isEnded) => {
        // An engine ends once, but its connections may break off repeatedly.
        const forgetAfterMs = isEnded ? BROKEN_RUN_MS : 0;
        setTimeout(() => checks.delete(key), forgetAfterMs).unref();
      });
      return check;
    },
  };
}
