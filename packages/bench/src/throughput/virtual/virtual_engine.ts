/**
 * An engine in this process that only takes time: it batches as the stand-in
 * does, with the same stated speeds. Under a test's clock, load on it gives
 * the same figures on any machine, however busy that is.
 */
import type { LayerRange } from "@rosemarypin/schemas";
import { batchDurationMs, type EngineSpeed } from "@rosemarypin/stand_ins";

/** Work of one sequence in one batch. */
export interface VirtualStep {
  /** Tokens of a prompt that pass with the step; 0 while decoding. */
  readonly promptTokens: number;
  /** Called when the outputs have crossed the engine's link. */
  done(): void;
  /** Called when the engine was killed before that. */
  lost(): void;
}

/** Runs steps in batches, in the order of their arrival. */
export interface VirtualEngine {
  readonly id: string;
  readonly failureDomain: string;
  readonly layers: LayerRange;
  enqueue(step: VirtualStep): void;
  /** Sequences that wait for a batch. */
  waiting(): number;
  /** Loses all work, also what was in the batch. */
  kill(): void;
  /** Takes work again, with empty memory. */
  restart(): void;
  isAlive(): boolean;
}

export interface VirtualEngineOptions {
  readonly id: string;
  readonly failureDomain: string;
  readonly layers: LayerRange;
  readonly speed: EngineSpeed;
  /** How much later than stated outputs arrive, in milliseconds; 0 if not
   * given. A busy machine's timers and sockets are late like that. */
  readonly lateness?: () => number;
}

/** Creates an idle engine. */
export function createVirtualEngine(
  options: VirtualEngineOptions,
): VirtualEngine {
  const { id, failureDomain, layers, speed } = options;
  const lateness = options.lateness ?? (() => 0);
  const inbox: VirtualStep[] = [];
  let batched: readonly VirtualStep[] = [];
  /** Grows with each kill, so that batches of before are told apart. */
  let life = 1;
  let isAlive = true;

  function batch(): void {
    const steps = inbox.splice(0, speed.batchSize);
    batched = steps;
    if (steps.length === 0) return;
    const began = life;
    setTimeout(() => {
      if (began !== life) return;
      setTimeout(() => {
        for (const step of steps) step.done();
      }, speed.linkMs + lateness());
      batch();
    }, durationOf(steps));
  }

  function durationOf(steps: readonly VirtualStep[]): number {
    return batchDurationMs(speed, {
      layers: layers.to - layers.from,
      decodeTokens: steps.length,
      promptTokens: steps.reduce((sum, step) => sum + step.promptTokens, 0),
    });
  }

  return {
    id,
    failureDomain,
    layers,
    isAlive: () => isAlive,
    waiting: () => inbox.length,
    enqueue(step) {
      if (!isAlive) return step.lost();
      inbox.push(step);
      if (batched.length === 0) batch();
    },
    kill() {
      life += 1;
      isAlive = false;
      const lost = [...batched, ...inbox.splice(0)];
      batched = [];
      for (const step of lost) step.lost();
    },
    restart() {
      isAlive = true;
    },
  };
}
