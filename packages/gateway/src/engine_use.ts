/** Memory of engines that answers take: those of this instance and of others. */
import { layersIn } from "@rosemarypin/pipelines";
import type { AddressedStage } from "./protocol.ts";

/**
 * For how long another instance's use counts after it was told, in
 * milliseconds: several times the period in which instances tell it. One that
 * is silent for longer is estimated.
 */
export const TOLD_FOR_MS = 3_000;

/** Use of engines by one instance, in tokens times layers, by engine. */
export type UseByEngine = ReadonlyMap<string, number>;

export interface EngineUse {
  /** Counts an answer's memory at its stages until the result is called. */
  take(stages: readonly AddressedStage[], tokens: number): () => void;
  /** Of this instance's answers, by engine. */
  own(): UseByEngine;
  /** Tokens of all answers of this instance. */
  ownTokens(): number;
  /** Takes in what another instance uses. */
  told(instance: string, use: UseByEngine): void;
  /** Of one engine by the others that told lately. */
  byOthers(engineId: string): number;
  /** Whether another instance told its use lately. */
  isTold(instance: string): boolean;
}

interface Told {
  readonly use: UseByEngine;
  readonly at: number;
}

/** Creates the record without answers in progress. */
export function createEngineUse(): EngineUse {
  const own = new Map<string, number>();
  const others = new Map<string, Told>();
  let ownTokens = 0;

  function count(stages: readonly AddressedStage[], tokens: number): void {
    ownTokens += tokens;
    for (const { engineId, range } of stages) {
      const use = (own.get(engineId) ?? 0) + tokens * layersIn(range);
      if (use === 0) own.delete(engineId);
      else own.set(engineId, use);
    }
  }

  function isFresh({ at }: Told): boolean {
    return performance.now() - at < TOLD_FOR_MS;
  }

  return {
    take(stages, tokens) {
      let isTaken = true;
      count(stages, tokens);
      return () => {
        if (!isTaken) return;
        isTaken = false;
        count(stages, -tokens);
      };
    },
    own: () => own,
    ownTokens: () => ownTokens,
    told(instance, use) {
      others.set(instance, { use, at: performance.now() });
    },
    byOthers(engineId) {
      let sum = 0;
      for (const [instance, told] of others) {
        if (isFresh(told)) sum += told.use.get(engineId) ?? 0;
        else others.delete(instance);
      }
      return sum;
    },
    isTold(instance) {
      const told = others.get(instance);
      return told !== undefined && isFresh(told);
    },
  };
}
