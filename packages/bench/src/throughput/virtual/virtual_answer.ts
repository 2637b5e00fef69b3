/** One request to a virtual instance, and what came of it. */
import type { GrantRequest, Router } from "@rosemarypin/routing";
import { benchShape, PROMPT_TOKENS } from "../bench_shape.ts";
import {
  type VirtualDeployment,
  virtualVersion,
} from "./virtual_deployment.ts";

const DEADLINE_MS = 60_000;

export interface VirtualRequest {
  readonly id: string;
  readonly router: Router;
  readonly organisation: string;
  /** Tokens after which the answer ends by itself. */
  readonly tokens: number;
  readonly maxTokens: number;
  /** Aborts when the caller leaves; without it, the caller stays. */
  readonly signal?: AbortSignal;
  /** Called for each token as it comes. */
  onToken(): void;
}

export type VirtualEnd =
  | { readonly kind: "whole" }
  | { readonly kind: "left" }
  /** An engine of its pipeline was killed; nothing recovers it here. */
  | { readonly kind: "lost" }
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** Asks for engines, runs the answer on them and gives them back. */
export async function runVirtualAnswer(
  { engines }: VirtualDeployment,
  request: VirtualRequest,
): Promise<VirtualEnd> {
  const { router, signal = new AbortController().signal } = request;
  const result = await router.acquire(needOf(request, signal));
  if (result.kind === "refused") {
    return { kind: "refused", retryAfterMs: result.retryAfterSeconds * 1_000 };
  }
  const { grant } = result;
  const stages = grant.stages.flatMap(
    ({ engine }) => engines.find(({ id }) => id === engine) ?? [],
  );
  let count = 0;
  const end = await new Promise<VirtualEnd>((resolve) => {
    /** Passes a token through all stages; the prompt goes with the first. */
    function step(stage: number): void {
      if (signal.aborted) return resolve({ kind: "left" });
      const engine = stages[stage];
      if (!engine) return takeToken();
      const promptTokens = count === 0 ? PROMPT_TOKENS - 1 : 0;
      engine.enqueue({
        promptTokens,
        done: () => step(stage + 1),
        lost: () => resolve({ kind: "lost" }),
      });
    }
    function takeToken(): void {
      count += 1;
      request.onToken();
      grant.observeToken();
      if (count >= request.tokens) return resolve({ kind: "whole" });
      step(0);
    }
    step(0);
  });
  grant.release();
  return end;
}

function needOf(request: VirtualRequest, signal: AbortSignal): GrantRequest {
  const { id, organisation, maxTokens } = request;
  return {
    request: {
      requestId: id,
      organisation,
      weight: 1,
      model: benchShape.model,
      adapter: undefined,
      promptTokens: Array.from({ length: PROMPT_TOKENS }, String),
      maxTokens,
      priority: "interactive",
      deadlineAt: Date.now() + DEADLINE_MS,
    },
    version: virtualVersion,
    avoid: new Set(),
    isRecovery: false,
    signal,
  };
}
