/** Requests of the soak, as its callers send them. */
import {
  KEY,
  MILL_KEY,
  promptHeaders,
  streamHeaders,
} from "@rosemarypin/platform/stand_in";
import type { SeededRandom } from "../seeded_random.ts";

/** What kind of request it is. */
export type SoakKind = "stream" | "order" | "lookup";

export interface SoakRequest {
  readonly kind: SoakKind;
  readonly events: number;
  /** Priority of its route; 0 is the most urgent. */
  readonly priority: number;
  readonly organisation: string;
  /** Whether its stream can't be resumed. */
  readonly isOnce?: boolean;
}

const STREAM_ROUTES: Readonly<Record<number, string>> = { 1: "ask", 3: "tell" };
/** Streams that can't be resumed are of this class. */
const ONCE_PRIORITY = 1;
/** Part of all prompts. */
export const COMMON_PART = "common";
/** Parts that several prompts have. */
const SHARED_PARTS = 7;
const KEYS: Readonly<Record<string, string>> = { farm: KEY, mill: MILL_KEY };
export const ORGANISATIONS = ["farm", "mill"] as const;
export const STREAM_PRIORITIES = [1, 3] as const;

/** Draws a request; those for streams are of any class. */
export function drawRequest(
  random: SeededRandom,
  fixed: Partial<SoakRequest> = {},
): SoakRequest {
  const kind =
    fixed.kind ??
    random.pick<SoakKind>(["stream", "stream", "order", "lookup"]);
  return {
    kind,
    events: random.between(2, 30),
    priority: kind === "stream" ? random.pick(STREAM_PRIORITIES) : 1,
    organisation: random.pick(ORGANISATIONS),
    ...fixed,
  };
}

/** Name of a request's route. */
export function routeOf({ kind, priority, isOnce }: SoakRequest): string {
  if (kind === "lookup") return "look";
  if (kind === "order") return "order";
  if (isOnce && priority === ONCE_PRIORITY) return "say";
  return STREAM_ROUTES[priority] ?? "";
}

export function keyOf({ organisation }: SoakRequest): string {
  return KEYS[organisation] ?? KEY;
}

/** What a caller sends for a request. */
export function callOptionsOf(request: SoakRequest) {
  const { kind, events } = request;
  const key = keyOf(request);
  const path = `/${routeOf(request)}/1`;
  if (kind === "lookup") return { key, method: "GET", path };
  if (kind === "order") return { key, path, body: "two filters" };
  const part = `shared-${events % SHARED_PARTS}`;
  const headers = {
    ...streamHeaders(events),
    ...promptHeaders(COMMON_PART, part),
  };
  return { key, path, body: "why", headers };
}
