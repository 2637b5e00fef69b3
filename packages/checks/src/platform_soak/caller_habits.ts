/** How some callers of the soak differ from the others. */
import type { CallerAnswer } from "@rosemarypin/platform/stand_in";
import type { SoakRequest } from "./soak_request.ts";

export interface CallerHabits {
  readonly request?: Partial<SoakRequest>;
  /** Pause between the halves of each body, in milliseconds. */
  readonly bodyPauseMs?: number;
  /** Whether it reuses connections shortly before they are closed. */
  readonly isSlowToReturn?: boolean;
}

/** By the number of the caller; those with even ones keep connections. */
export const HABITS: readonly CallerHabits[] = [
  {},
  { bodyPauseMs: 300 },
  { isSlowToReturn: true },
  { request: { isOnce: true } },
  { bodyPauseMs: 900 },
  { request: { events: 60 } },
];

/** Callers use connections that were idle for up to this share of the limit. */
const IDLE_SHARE = 0.8;
/** A caller that would wait for longer calls at once. */
const LONGEST_IDLE_MS = 2_500;

/** Time for which a caller leaves its connection idle after an answer. */
export function idleMsOf({ headers }: CallerAnswer): number {
  const named = /timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""));
  const idleMs = Number(named?.[1] ?? 0) * 1_000 * IDLE_SHARE;
  return idleMs > LONGEST_IDLE_MS ? 0 : idleMs;
}
