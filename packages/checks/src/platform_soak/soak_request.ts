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
}

const STREAM_PATHS: Readonly<Record<number, string>> = {
  1: "/ask/1",
  3: "/tell/1",
};
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

/** What a caller sends for a request. */
export function callOptionsOf(request: SoakRequest) {
  const { kind, events, priority, organisation } = request;
  const key = KEYS[organisation] ?? KEY;
  if (kind === "lookup") return { key, method: "GET", path: "/look/1" };
  if (kind === "order") return { key, path: "/order/1", body: "two filters" };
  const path = STREAM_PATHS[priority] ?? "";
  const part = `shared-${events % SHARED_PARTS}`;
  const headers = {
    ...streamHeaders(events),
    ...promptHeaders(COMMON_PART, part),
  };
  return { key, path, body: "why", headers };
}
