/** Checks answers against the versions that may have been in force. */
import type { SoakCall } from "./judges.ts";
import { SPARE_SERVERS, SPARE_SERVICE } from "./versions.ts";

/** Refusals that a version does not have to allow. */
const NOT_RUN = new Set([408, 421, 429]);
/** Statuses that promise nothing about whether a request ran. */
const NO_PROMISE = new Set([500, 502, 504]);

/** Returns what is wrong with an answer; `null` if nothing is. */
export function judgeAllowance(call: SoakCall): string | null {
  const { allowed, answer, kind, onlyPlanned } = call;
  const { status, tookMs } = answer;
  if (!allowed || status === 0 || NOT_RUN.has(status)) return null;
  if (status === 404 || status === 401) {
    const presence = status === 404 ? allowed.route : allowed.key;
    if (presence !== "all") return null;
    return `a request got ${status}, and every version allows it`;
  }
  if (status >= 400 && status < 500) return "a proper request was rejected";
  if (status === 200) {
    if (allowed.route === "none" || allowed.key === "none")
      return "a request was answered that no version allows";
    if (kind !== "stream" && !allowed.services.includes(serviceOf(answer.body)))
      return "a request ran on a service of no version";
  }
  const isEarly = tookMs < Math.min(call.deadlineMs, allowed.minTimeoutMs);
  if (onlyPlanned && isEarly && NO_PROMISE.has(status))
    return "a request ended without an answer or a refusal";
  return null;
}

function serviceOf(body: string): string {
  const server = /^done by (\S+)$/.exec(body)?.[1] ?? "";
  return SPARE_SERVERS.has(server) ? SPARE_SERVICE : "shop";
}

/** Whether a refusal is due to a version, so that no class decided on it. */
export function isRefusedByVersion({ allowed, answer }: SoakCall): boolean {
  if (answer.status === 404) return allowed !== undefined;
  return answer.status === 401 && allowed !== undefined;
}
