/** Batches continuously: each batch takes what has come in the meantime. */
import type { LayerRange } from "@rosemarypin/schemas";
import type { EngineSpeed } from "../stand_in_settings.ts";
import type { PromptMeter } from "./prompt_meter.ts";
import { batchDurationMs, createBatchClock } from "./speed.ts";
import type { StepMessage } from "./step.ts";

export interface BatchLoopOptions {
  readonly speed: EngineSpeed;
  /** Layers that each position of a step passes through. */
  readonly layers: () => LayerRange;
  /** Aborts when the engine is killed: nothing runs from then on. */
  readonly killed: AbortSignal | undefined;
  /** Resolves while the engine is not frozen. */
  readonly whenRunning: (() => Promise<void>) | undefined;
  readonly meter: PromptMeter;
  /** Runs the steps of a batch, when its time has passed. */
  runSteps(steps: readonly StepMessage[]): void;
}

/** Creates a loop; returns how to give it a step. */
export function createBatchLoop(
  options: BatchLoopOptions,
): (step: StepMessage) => void {
  const { speed, killed, whenRunning, runSteps, meter } = options;
  const inbox: StepMessage[] = [];
  const clock = createBatchClock();
  let isBatching = false;

  async function batch(): Promise<void> {
    if (isBatching) return;
    isBatching = true;
    let waitingSince = performance.now();
    while (inbox.length > 0) {
      const steps = inbox.splice(0, speed.batchSize);
      const durationMs = durationOf(steps);
      await clock.run(durationMs, waitingSince);
      meter.observe(durationMs, promptTokensOf(steps) * countLayers());
      waitingSince = inbox.length > 0 ? 0 : performance.now();
      await whenRunning?.();
      if (killed?.aborted) return;
      runSteps(steps);
    }
    isBatching = false;
  }

  function countLayers(): number {
    const { from, to } = options.layers();
    return to - from;
  }

  function durationOf(steps: readonly StepMessage[]): number {
    return batchDurationMs(speed, {
      layers: countLayers(),
      decodeTokens: steps.length,
      promptTokens: promptTokensOf(steps),
    });
  }

  return (step) => {
    inbox.push(step);
    void batch();
  };
}

function promptTokensOf(steps: readonly StepMessage[]): number {
  const tokens = steps.reduce((sum, { inputs }) => sum + inputs.length, 0);
  return tokens - steps.length;
}
