/** Crowds in the words of the users' platform. */
import { encodeHead, streamHeaders } from "@rosemarypin/platform/stand_in";
import type { CrowdKind } from "./crowd.ts";
import { crowdKinds } from "./crowd_kinds.ts";

/** Kinds of crowds at the callers' address of an instance. */
export function gatewayCrowdKinds({
  bodyBytes,
  deadlineMs,
}: {
  readonly bodyBytes: number;
  readonly deadlineMs: number;
}): readonly CrowdKind[] {
  /** Head up to its last line, which the sender adds. */
  const openHead = (options: Parameters<typeof encodeHead>[0]): string =>
    encodeHead({ deadlineMs, ...options }, []).slice(0, -2);
  const asked = openHead({ path: "/ask/1", headers: streamHeaders(2_000) });
  const heads = {
    order: openHead({ path: "/order/1" }),
    lookup: openHead({ method: "GET", path: "/look/1" }),
    stream: `${asked}Content-Length: 3\r\n\r\nwhy`,
  };
  return crowdKinds(heads, bodyBytes);
}
